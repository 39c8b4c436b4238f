#include "net/otlp/exporter.hpp"

#include "config/decode.hpp"
#include "net/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::net::otlp {
namespace {

constexpr std::size_t kMaxQueuedSpans = 4096, kMaxBatchSpans = 512;
constexpr Micros kCallTimeout = 5'000'000;
constexpr Micros kMinRetryDelay = 500'000, kMaxRetryDelay = 8'000'000;
constexpr int kMaxTries = 5; // a batch is dropped after that
constexpr std::array<double, 12> kBucketBoundsMs{5, 10, 25, 50, 75, 100, 200, 300, 400, 750, 1500, 2500};

constexpr const char *kOutcomeNames[] = {"served", "refused", "failed"};
constexpr const char *kStatusNames[] = {"ok",    "error",     "turned_away", "timeout", "connect_failed",
                                        "reset", "cancelled", "not_sent"};

std::uint64_t splitmix64(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return x ^ (x >> 31);
}
std::string hex(std::uint64_t id) {
    return fmt::format("{:016x}", id);
}
// Nanoseconds as text: OTLP's JSON encodes 64-bit numbers as strings.
std::string nanos(Micros at) {
    return fmt::format("{}", at * 1000);
}

Json::Value attribute(const char *key, const std::string &value) {
    Json::Value a;
    a["key"] = key;
    a["value"]["stringValue"] = value;
    return a;
}

} // namespace

Endpoint read_endpoint(const Json::Value &otlp) {
    Endpoint e;
    e.host = config::need_text(otlp, "endpoint");
    const auto at = endpoint<tcp::endpoint>(e.host);
    if (!at)
        throw config::Error("field 'otlp.endpoint' is not an address and port");
    e.address = *at;
    e.interval = config::time_or(otlp, "interval_ms", e.interval);
    if (e.interval < 10'000)
        throw config::Error("field 'otlp.interval_ms' is under 10");
    return e;
}

// Records the spans of one dispatcher. Trace and span identifiers are derived from the request's number, so
// that the span of an attempt can name that of its request without a table.
class Exporter::SpanRecorder : public core::RequestObserver {
public:
    SpanRecorder(Exporter &exporter, std::uint64_t seed) : exporter_(exporter), seed_(seed) {}
    void attempt_ended(RequestId id, const core::Attempt &a, int number, Status status, Micros from,
                       Micros until) override {
        Span span = begin(id, "attempt", from, until, status != Status::Ok);
        span.parent = std::exchange(span.id, splitmix64(span.id + static_cast<std::uint64_t>(number) + 1));
        span.attributes.append(attribute("marblewood.status", kStatusNames[static_cast<int>(status)]));
        span.attributes.append(
            attribute("marblewood.node", std::to_string(static_cast<std::uint32_t>(a.node))));
        exporter_.add(std::move(span));
    }
    void request_ended(RequestId id, const core::Request &r, const core::Outcome &outcome,
                       Micros until) override {
        const auto kind = static_cast<std::size_t>(outcome.kind);
        Span span = begin(id, "request", r.received_at, until, kind == 2);
        span.attributes.append(attribute("marblewood.outcome", kOutcomeNames[kind]));
        span.attributes.append(
            attribute("marblewood.class", exporter_.settings_.classes[r.arrival.cls].name));
        span.attributes.append(attribute("marblewood.plan", exporter_.settings_.plans[r.arrival.plan].name));
        const double ms = static_cast<double>(until - r.received_at) / 1000;
        ++exporter_.buckets_[std::lower_bound(kBucketBoundsMs.begin(), kBucketBoundsMs.end(), ms) -
                             kBucketBoundsMs.begin()];
        exporter_.latency_sum_ms_ += ms;
        exporter_.add(std::move(span));
    }

private:
    Span begin(RequestId id, const char *name, Micros from, Micros until, bool error) const {
        const std::uint64_t base = splitmix64(seed_ ^ splitmix64(static_cast<std::uint64_t>(id)));
        return {{base, splitmix64(base)}, splitmix64(base + 1) | 1, 0, name, from, until, error,
                Json::arrayValue};
    }
    Exporter &exporter_;
    std::uint64_t seed_;
};

Exporter::Exporter(asio::io_context &io, core::Deadlines &deadlines, Endpoint endpoint,
                   std::string instance_name, const Settings &settings, const core::Metrics &metrics,
                   std::uint64_t seed)
    : io_(io), deadlines_(deadlines), endpoint_(std::move(endpoint)),
      instance_name_(std::move(instance_name)), settings_(settings), seed_(seed),
      started_at_(deadlines.clock.now()), metrics_(metrics), socket_(io) {
    asio::co_spawn(io_, export_repeatedly(), asio::detached);
}

core::RequestObserver &Exporter::observer() {
    observers_.push_back(std::make_unique<SpanRecorder>(*this, splitmix64(seed_ + observers_.size())));
    return *observers_.back();
}

void Exporter::add(Span span) {
    if (spans_.size() >= kMaxQueuedSpans)
        ++dropped_;
    else
        spans_.push_back(std::move(span));
}

asio::awaitable<void> Exporter::wait(Micros duration) {
    core::Mailbox<bool> done(io_.get_executor());
    const auto entry = deadlines_.in(duration, [&done] { done.put(true); });
    co_await done.take();
}

asio::awaitable<void> Exporter::export_repeatedly() {
    for (;;) {
        co_await wait(endpoint_.interval);
        while (!spans_.empty()) {
            std::vector<Span> batch;
            while (!spans_.empty() && batch.size() < kMaxBatchSpans) {
                batch.push_back(std::move(spans_.front()));
                spans_.pop_front();
            }
            const bool sent = co_await post("/v1/traces", traces(batch));
            if (!sent)
                dropped_ += batch.size();
        }
        co_await post("/v1/metrics", metrics());
    }
}

// As OTLP specifies, status 429, 502, 503 and 504 and lost connections are retried, after the time in
// Retry-After or else with exponential backoff. Any other failure is final.
asio::awaitable<bool> Exporter::post(const char *path, const Json::Value &body) {
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    const std::string json = Json::writeString(compact, body);
    const std::string request =
        fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    path, endpoint_.host, json.size(), json);
    Micros retry_delay = kMinRetryDelay;
    for (int n = 0; n < kMaxTries; ++n) {
        boost::system::error_code error;
        if (!socket_.is_open())
            error =
                co_await dial(socket_, endpoint_.address, deadlines_.clock.now() + kCallTimeout, deadlines_);
        std::optional<http::Response> response;
        if (error)
            socket_.close(error);
        else
            response =
                co_await http::exchange(socket_, request, deadlines_.clock.now() + kCallTimeout, deadlines_);
        if (response && response->status >= 200 && response->status < 300)
            co_return true;
        Micros pause = retry_delay;
        if (response) {
            const int s = response->status;
            if (s != 429 && s != 502 && s != 503 && s != 504) {
                core::log("otlp: {} answered {}", path, s);
                co_return false;
            }
            const long retry_after_seconds =
                response->retry_after ? std::atol(response->retry_after->c_str()) : 0;
            if (retry_after_seconds > 0)
                pause = std::min<Micros>(retry_after_seconds, 60) * 1'000'000;
        }
        co_await wait(pause);
        retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
    }
    core::log("otlp: {} given up after {} tries", path, kMaxTries);
    co_return false;
}

Json::Value Exporter::resource() const {
    Json::Value r;
    r["attributes"].append(attribute("service.name", "marblewood"));
    r["attributes"].append(attribute("service.instance.id", instance_name_));
    return r;
}

Json::Value Exporter::traces(const std::vector<Span> &spans) const {
    Json::Value rows(Json::arrayValue);
    for (const Span &s : spans) {
        Json::Value row;
        row["traceId"] = hex(s.trace[0]) + hex(s.trace[1]);
        row["spanId"] = hex(s.id);
        if (s.parent)
            row["parentSpanId"] = hex(s.parent);
        row["name"] = s.name;
        row["kind"] = s.parent ? 3 : 2; // client, server
        row["startTimeUnixNano"] = nanos(s.from);
        row["endTimeUnixNano"] = nanos(s.until);
        row["attributes"] = s.attributes;
        if (s.error)
            row["status"]["code"] = 2;
        rows.append(std::move(row));
    }
    Json::Value body;
    Json::Value &part = body["resourceSpans"][0];
    part["resource"] = resource();
    part["scopeSpans"][0]["scope"]["name"] = "marblewood";
    part["scopeSpans"][0]["spans"] = std::move(rows);
    return body;
}

Json::Value Exporter::metrics() {
    const std::string from = nanos(started_at_), now = nanos(deadlines_.clock.now());
    const auto set_times = [&](Json::Value &row) {
        row["startTimeUnixNano"] = from;
        row["timeUnixNano"] = now;
    };
    Json::Value requests, latency, dropped;
    requests["name"] = "marblewood.requests";
    requests["unit"] = "{request}";
    std::uint64_t count = 0;
    for (std::size_t n = 0; n < 3; ++n) {
        Json::Value row;
        set_times(row);
        row["asInt"] = std::to_string(metrics_.total(static_cast<core::Outcome::Kind>(n)));
        row["attributes"].append(attribute("marblewood.outcome", kOutcomeNames[n]));
        requests["sum"]["dataPoints"].append(row);
        count += metrics_.total(static_cast<core::Outcome::Kind>(n));
    }
    latency["name"] = "marblewood.request.duration";
    latency["unit"] = "ms";
    Json::Value row;
    set_times(row);
    row["count"] = std::to_string(count);
    row["sum"] = latency_sum_ms_;
    for (const double bound : kBucketBoundsMs)
        row["explicitBounds"].append(bound);
    for (const std::uint64_t n : buckets_)
        row["bucketCounts"].append(std::to_string(n));
    latency["histogram"]["dataPoints"].append(row);
    latency["histogram"]["aggregationTemporality"] = 2; // cumulative
    dropped["name"] = "marblewood.spans.dropped";
    Json::Value dropped_point;
    set_times(dropped_point);
    dropped_point["asInt"] = std::to_string(dropped_);
    dropped["sum"]["dataPoints"].append(dropped_point);
    for (Json::Value *sum : {&requests["sum"], &dropped["sum"]}) {
        (*sum)["aggregationTemporality"] = 2;
        (*sum)["isMonotonic"] = true;
    }
    Json::Value body;
    Json::Value &part = body["resourceMetrics"][0];
    part["resource"] = resource();
    part["scopeMetrics"][0]["scope"]["name"] = "marblewood";
    for (const Json::Value *metric : {&requests, &latency, &dropped})
        part["scopeMetrics"][0]["metrics"].append(*metric);
    return body;
}

} // namespace marblewood::net::otlp
