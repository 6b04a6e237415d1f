//! Case `proxy`: latency that forwarding through the HTTP server and the connection pool adds to a direct call.
//!
//! Callers and the backend server are threads with blocking sockets, so that the only executor thread runs nothing but
//! the proxy. The first phase measures the request rate that one core sustains, and calibrates the rate that uses half
//! of a core; a core sustains fewer requests when they arrive one by one. The next phase sends that rate in short
//! rounds: directly, through the proxy, and through a naive proxy that opens a connection per request. The rounds show
//! how much of a percentile over all requests is due to pauses of the machine.

use {
    crate::report::{Measure, Unit},
    async_trait::async_trait,
    hdrhistogram::Histogram,
    ragwortreel_backend::{BackendPool, PoolLimits, SendOptions, SendResult},
    ragwortreel_http::{Client, ClientLimits, Handler, Request, Response, Server, ServerLimits},
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::{Stop, block_on, discard_logger, spawn, start_threads},
    std::{
        fs,
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Concurrent callers, each with a connection of its own.
const CALLERS: usize = 32;
/// Size of a response body.
const BODY_BYTES: usize = 1024;
const WARM_UP: Duration = Duration::from_secs(1);
/// Length of the load that measures the capacity.
const CAPACITY_TIME: Duration = Duration::from_secs(4);
/// Length of one calibration run.
const CALIBRATION_TIME: Duration = Duration::from_secs(1);
/// Number of calibration runs.
const CALIBRATIONS: usize = 3;
/// Length of each of the three loads of a round.
const ROUND_LOAD_TIME: Duration = Duration::from_millis(500);
/// Number of rounds.
const ROUNDS: usize = 13;
/// Share of a core that the proxy uses under the measured load.
const LOAD_SHARE: f64 = 0.5;
/// Time limit of a forwarded request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Target of the added median latency, in ms.
const MAX_ADDED_P50_MS: f64 = 0.3;
/// Target of the added 99th percentile, in ms.
const MAX_ADDED_P99_MS: f64 = 2.0;
/// Lower bound of the latency histogram, in ns.
const LOWEST_NS: u64 = 1_000;
/// Upper bound of the latency histogram, in ns.
const HIGHEST_NS: u64 = 60_000_000_000;

/// Proxy that forwards over the connection pool.
struct PooledProxy(BackendPool);

#[async_trait]
impl Handler for PooledProxy {
    async fn handle(&self, req: Request, _: SocketAddr) -> Response {
        let options = SendOptions {
            class: WorkClass::Short,
            deadline: Instant::now() + DEADLINE,
            retryable: false,
        };
        match self.0.send(req, options).await {
            SendResult::Answered(response) => response,
            SendResult::NotRun(_) => Response::new(503),
            SendResult::Unknown(_) => Response::new(502),
        }
    }
}

/// Proxy that forwards each request over a new connection.
struct NaiveProxy(Client, SocketAddr);

#[async_trait]
impl Handler for NaiveProxy {
    async fn handle(&self, req: Request, _: SocketAddr) -> Response {
        let sent = self.0.send(self.1, req, Instant::now() + DEADLINE).await;
        sent.unwrap_or_else(|_| Response::new(502))
    }
}

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    measure().map_err(|err| err.to_string())
}

fn measure() -> io::Result<Vec<Measure>> {
    start_threads(1)?;
    let backend = start_backend()?;
    let limits = PoolLimits {
        max_connections: 2 * CALLERS,
        ..PoolLimits::default()
    };
    let pool = BackendPool::new(backend, limits, discard_logger());
    let (proxy, proxy_stop) = start_proxy(Arc::new(PooledProxy(pool)))?;
    let no_reuse = ClientLimits {
        max_idle_per_address: 0,
        ..ClientLimits::default()
    };
    let (naive, naive_stop) = start_proxy(Arc::new(NaiveProxy(Client::new(no_reuse), backend)))?;

    send_load(proxy, None, WARM_UP)?;
    let proxy_capacity = capacity_per_core(proxy)?;
    let naive_capacity = capacity_per_core(naive)?;
    let rate = rate_at_half_load(proxy, proxy_capacity)?;
    let naive_rate = rate.min(naive_capacity * LOAD_SHARE);
    let (mut direct, mut proxied, mut naive_latencies) = (histogram(), histogram(), histogram());
    let mut added_by_round = Vec::new();
    let mut cpu = Duration::ZERO;
    for _ in 0..ROUNDS {
        let direct_round = send_load(backend, Some(rate), ROUND_LOAD_TIME)?;
        let before = proxy_cpu()?;
        let proxied_round = send_load(proxy, Some(rate), ROUND_LOAD_TIME)?;
        cpu += proxy_cpu()?.saturating_sub(before);
        naive_latencies += send_load(naive, Some(naive_rate), ROUND_LOAD_TIME)?;
        let p99 = |round: &Histogram<u64>| ms(round.value_at_quantile(0.99));
        added_by_round.push(p99(&proxied_round) - p99(&direct_round));
        direct += direct_round;
        proxied += proxied_round;
    }
    added_by_round.sort_by(f64::total_cmp);
    for stop in [proxy_stop, naive_stop] {
        stop.request();
        block_on(stop.drained());
    }
    let added = |found: &Histogram<u64>, quantile| {
        ms(found.value_at_quantile(quantile)) - ms(direct.value_at_quantile(quantile))
    };
    Ok(vec![
        Measure::at_most(
            "added_p50",
            added(&proxied, 0.5),
            Unit::Milliseconds,
            MAX_ADDED_P50_MS,
        )
        .with_baseline(added(&naive_latencies, 0.5)),
        Measure::at_most(
            "added_p99",
            added(&proxied, 0.99),
            Unit::Milliseconds,
            MAX_ADDED_P99_MS,
        )
        .with_baseline(added(&naive_latencies, 0.99)),
        Measure::info(
            "direct_p50",
            ms(direct.value_at_quantile(0.5)),
            Unit::Milliseconds,
        ),
        Measure::info(
            "direct_p99",
            ms(direct.value_at_quantile(0.99)),
            Unit::Milliseconds,
        ),
        Measure::info("requests_per_core_s", proxy_capacity, Unit::PerSecond)
            .with_baseline(naive_capacity),
        Measure::info("rate", rate, Unit::PerSecond),
        Measure::info(
            "core_share",
            cpu.as_secs_f64()
                / (ROUND_LOAD_TIME * u32::try_from(ROUNDS).unwrap_or(1)).as_secs_f64(),
            Unit::Share,
        ),
        Measure::info(
            "added_p99_median_turn",
            added_by_round[ROUNDS / 2],
            Unit::Milliseconds,
        ),
    ])
}

fn start_proxy(handler: Arc<dyn Handler>) -> io::Result<(SocketAddr, Stop)> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = Server::bind(addr, handler, ServerLimits::default(), discard_logger())?;
    let (addr, stop) = (server.local_addr(), Stop::new());
    spawn(server.run(stop.clone())).detach();
    Ok((addr, stop))
}

/// Starts a backend server that responds to each request at once; it runs until the process exits.
fn start_backend() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let addr = listener.local_addr()?;
    let body = "x".repeat(BODY_BYTES);
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}"
    );
    let response: Arc<[u8]> = response.into_bytes().into();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let response = Arc::clone(&response);
            thread::spawn(move || serve_connection(socket, &response));
        }
    });
    Ok(addr)
}

/// Responds to the requests of one connection, which have no body.
fn serve_connection(mut socket: TcpStream, response: &[u8]) {
    let _ = socket.set_nodelay(true);
    let mut buf = vec![0; 4096];
    let mut end = 0;
    while let Ok(read) = socket.read(&mut buf[end..]) {
        end += read;
        if read == 0 {
            return;
        }
        if buf[..end].ends_with(b"\r\n\r\n") {
            end = 0;
            if socket.write_all(response).is_err() {
                return;
            }
        }
    }
}

/// Requests per core second that the proxy's threads use, with each caller sending as fast as it can.
fn capacity_per_core(addr: SocketAddr) -> io::Result<f64> {
    let before = proxy_cpu()?;
    let answered = send_load(addr, None, CAPACITY_TIME)?.len();
    let used = proxy_cpu()?.saturating_sub(before);
    #[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    Ok(answered as f64 / used.as_secs_f64())
}

/// Request rate per second at which the proxy's threads use half of a core.
fn rate_at_half_load(addr: SocketAddr, capacity: f64) -> io::Result<f64> {
    let mut rate = capacity * LOAD_SHARE;
    for _ in 0..CALIBRATIONS {
        let before = proxy_cpu()?;
        send_load(addr, Some(rate), CALIBRATION_TIME)?;
        let used = proxy_cpu()?.saturating_sub(before);
        rate *= LOAD_SHARE * CALIBRATION_TIME.as_secs_f64() / used.as_secs_f64();
        rate = rate.min(capacity * LOAD_SHARE);
    }
    Ok(rate)
}

/// Processor time of the executor thread and of the I/O event thread.
fn proxy_cpu() -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // The thread may have ended since the directory was read.
        let name = fs::read_to_string(task.join("comm")).unwrap_or_default();
        if name.starts_with("executor-") || name.starts_with("async-io") {
            let stat = fs::read_to_string(task.join("schedstat"))?;
            let running_ns = stat.split(' ').next().and_then(|text| text.parse().ok());
            total += Duration::from_nanos(running_ns.unwrap_or(0));
        }
    }
    Ok(total)
}

/// Sends requests from all callers for `time` and returns the latencies.
///
/// `rate` is the total of all callers per second; without it each caller sends its next request after each response.
fn send_load(addr: SocketAddr, rate: Option<f64>, time: Duration) -> io::Result<Histogram<u64>> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| thread::spawn(move || run_caller(addr, number, rate, time)))
        .collect();
    let mut all = histogram();
    for caller in callers {
        let latencies = caller
            .join()
            .map_err(|_| io::Error::other("caller panicked"))?;
        all += latencies?;
    }
    Ok(all)
}

/// Sends the requests of one caller; with a rate they are due at the arrival times of a Poisson process.
fn run_caller(
    addr: SocketAddr,
    number: usize,
    rate: Option<f64>,
    time: Duration,
) -> io::Result<Histogram<u64>> {
    let mut socket = TcpStream::connect(addr)?;
    socket.set_nodelay(true)?;
    let mut latencies = histogram();
    let mut random = fastrand::Rng::with_seed(number as u64);
    let mut buf = vec![0; 8192];
    // The first request is not counted, because it opens the connections along the path.
    send_request(&mut socket, &mut buf)?;
    let (mut due, end) = (Instant::now(), Instant::now() + time);
    #[allow(clippy::cast_precision_loss, reason = "there are few callers")]
    let mean_pause = rate.map(|rate| CALLERS as f64 / rate);
    while due < end {
        if let Some(mean_pause) = mean_pause {
            due += Duration::from_secs_f64(-mean_pause * (1.0 - random.f64()).ln());
        }
        let early = due.saturating_duration_since(Instant::now());
        // When the previous request delays this one, its latency counts from the time at which it was due.
        let start = if early.is_zero() && rate.is_some() {
            due
        } else {
            thread::sleep(early);
            Instant::now()
        };
        send_request(&mut socket, &mut buf)?;
        let elapsed = u64::try_from(start.elapsed().as_nanos()).unwrap_or(HIGHEST_NS);
        latencies.saturating_record(elapsed);
        if rate.is_none() {
            due = Instant::now();
        }
    }
    Ok(latencies)
}

/// Sends one request and reads its response.
fn send_request(socket: &mut TcpStream, buf: &mut [u8]) -> io::Result<()> {
    socket.write_all(
        b"GET /v1/services/quotes/price/item?size=4 HTTP/1.1\r\nhost: quotes\r\n\
          accept: application/json\r\nuser-agent: bench\r\nx-request: 1234567890\r\n\r\n",
    )?;
    let mut end = 0;
    loop {
        let read = socket.read(&mut buf[end..])?;
        end += read;
        let head = buf[..end].windows(4).position(|four| four == b"\r\n\r\n");
        match head {
            Some(head) if end == head + 4 + BODY_BYTES => break,
            _ if read == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => {}
        }
    }
    if !buf.starts_with(b"HTTP/1.1 200 ") {
        return Err(io::Error::other("request not answered with 200"));
    }
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(LOWEST_NS, HIGHEST_NS, 3).expect("the bounds are valid")
}

#[allow(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 ns"
)]
fn ms(ns: u64) -> f64 {
    ns as f64 / 1e6
}
