#include "net/otlp/exporter.hpp"

#include "config/decode.hpp"
#include "net/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::net::otlp {
namespace {

constexpr std::size_t kMostSpans = 4096, kBatch = 512; // queued; in one call
constexpr Micros kCall = 5'000'000;                    // us for a call
constexpr Micros kFirstRetry = 500'000, kLastRetry = 8'000'000;
constexpr int kTries = 5; // of a batch; after that it is dropped
constexpr std::array<double, 12> kBounds{5, 10, 25, 50, 75, 100, 200, 300, 400, 750, 1500, 2500}; // ms

constexpr const char *kOutcomes[] = {"served", "refused", "failed"};
constexpr const char *kStatuses[] = {"ok",    "error",     "turned_away", "timeout", "connect_failed",
                                     "reset", "cancelled", "not_sent"};

std::uint64_t mix(std::uint64_t x) { // splitmix64
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return x ^ (x >> 31);
}
std::string hex(std::uint64_t id) {
    return fmt::format("{:016x}", id);
}
std::string nanos(Micros at) {
    return fmt::format("{}", at * 1000);
} // 64-bit numbers are texts in OTLP's JSON

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

// Identifiers follow from the request's number, so that an attempt's span finds its request's without a
// table.
class Exporter::Watcher : public core::RequestObserver {
public:
    Watcher(Exporter &to, std::uint64_t seed) : to_(to), seed_(seed) {}
    void attempt_ended(RequestId id, const core::Attempt &a, int number, Status status, Micros from,
                       Micros until) override {
        Span span = begin(id, "attempt", from, until, status != Status::Ok);
        span.parent = std::exchange(span.id, mix(span.id + static_cast<std::uint64_t>(number) + 1));
        span.attributes.append(attribute("marblewood.status", kStatuses[static_cast<int>(status)]));
        span.attributes.append(
            attribute("marblewood.node", std::to_string(static_cast<std::uint32_t>(a.node))));
        to_.add(std::move(span));
    }
    void request_ended(RequestId id, const core::Request &r, const core::Outcome &outcome,
                       Micros until) override {
        const auto kind = static_cast<std::size_t>(outcome.kind);
        Span span = begin(id, "request", r.received_at, until, kind == 2);
        span.attributes.append(attribute("marblewood.outcome", kOutcomes[kind]));
        span.attributes.append(attribute("marblewood.class", to_.settings_.classes[r.arrival.cls].name));
        span.attributes.append(attribute("marblewood.plan", to_.settings_.plans[r.arrival.plan].name));
        const double ms = static_cast<double>(until - r.received_at) / 1000;
        ++to_.buckets_[std::lower_bound(kBounds.begin(), kBounds.end(), ms) - kBounds.begin()];
        to_.latencies_ += ms;
        to_.add(std::move(span));
    }

private:
    Span begin(RequestId id, const char *name, Micros from, Micros until, bool error) const {
        const std::uint64_t base = mix(seed_ ^ mix(static_cast<std::uint64_t>(id)));
        return {{base, mix(base)}, mix(base + 1) | 1, 0, name, from, until, error, Json::arrayValue};
    }
    Exporter &to_;
    std::uint64_t seed_;
};

Exporter::Exporter(asio::io_context &io, core::Deadlines &deadlines, Endpoint to, std::string name,
                   const Settings &settings, const core::Metrics &figures, std::uint64_t seed)
    : io_(io), deadlines_(deadlines), to_(std::move(to)), name_(std::move(name)), settings_(settings),
      seed_(seed), born_(deadlines.clock.now()), figures_(figures), socket_(io) {
    asio::co_spawn(io_, work(), asio::detached);
}

core::RequestObserver &Exporter::observer() {
    observers_.push_back(std::make_unique<Watcher>(*this, mix(seed_ + observers_.size())));
    return *observers_.back();
}

void Exporter::add(Span span) {
    if (spans_.size() >= kMostSpans)
        ++dropped_;
    else
        spans_.push_back(std::move(span));
}

asio::awaitable<void> Exporter::rest(Micros length) {
    core::Mailbox<bool> over(io_.get_executor());
    const auto entry = deadlines_.in(length, [&over] { over.put(true); });
    co_await over.take();
}

asio::awaitable<void> Exporter::work() {
    for (;;) {
        co_await rest(to_.interval);
        while (!spans_.empty()) {
            std::vector<Span> batch;
            while (!spans_.empty() && batch.size() < kBatch) {
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

// As OTLP asks: 429, 502, 503, 504 and lost connections are tried again, after Retry-After where it is given
// and ever longer otherwise; any other failure is final.
asio::awaitable<bool> Exporter::post(const char *path, const Json::Value &body) {
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    const std::string json = Json::writeString(compact, body);
    const std::string request =
        fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    path, to_.host, json.size(), json);
    Micros wait = kFirstRetry;
    for (int n = 0; n < kTries; ++n) {
        boost::system::error_code error;
        if (!socket_.is_open())
            error = co_await dial(socket_, to_.address, deadlines_.clock.now() + kCall, deadlines_);
        std::optional<http::Response> answer;
        if (error)
            socket_.close(error);
        else
            answer = co_await http::exchange(socket_, request, deadlines_.clock.now() + kCall, deadlines_);
        if (answer && answer->status >= 200 && answer->status < 300)
            co_return true;
        Micros pause = wait;
        if (answer) {
            const int s = answer->status;
            if (s != 429 && s != 502 && s != 503 && s != 504) {
                core::log("otlp: {} answered {}", path, s);
                co_return false;
            }
            const long told = answer->retry_after ? std::atol(answer->retry_after->c_str()) : 0;
            if (told > 0)
                pause = std::min<Micros>(told, 60) * 1'000'000;
        }
        co_await rest(pause);
        wait = std::min(2 * wait, kLastRetry);
    }
    core::log("otlp: {} given up after {} tries", path, kTries);
    co_return false;
}

Json::Value Exporter::resource() const {
    Json::Value r;
    r["attributes"].append(attribute("service.name", "marblewood"));
    r["attributes"].append(attribute("service.instance.id", name_));
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
        row["endTimeUnixNano"] = nanos(s.to);
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
    const std::string from = nanos(born_), now = nanos(deadlines_.clock.now());
    const auto point = [&](Json::Value &row) {
        row["startTimeUnixNano"] = from;
        row["timeUnixNano"] = now;
    };
    Json::Value requests, latency, dropped;
    requests["name"] = "marblewood.requests";
    requests["unit"] = "{request}";
    std::uint64_t all = 0;
    for (std::size_t n = 0; n < 3; ++n) {
        Json::Value row;
        point(row);
        row["asInt"] = std::to_string(figures_.total(static_cast<core::Outcome::Kind>(n)));
        row["attributes"].append(attribute("marblewood.outcome", kOutcomes[n]));
        requests["sum"]["dataPoints"].append(row);
        all += figures_.total(static_cast<core::Outcome::Kind>(n));
    }
    latency["name"] = "marblewood.request.duration";
    latency["unit"] = "ms";
    Json::Value row;
    point(row);
    row["count"] = std::to_string(all);
    row["sum"] = latencies_;
    for (const double bound : kBounds)
        row["explicitBounds"].append(bound);
    for (const std::uint64_t n : buckets_)
        row["bucketCounts"].append(std::to_string(n));
    latency["histogram"]["dataPoints"].append(row);
    latency["histogram"]["aggregationTemporality"] = 2; // cumulative
    dropped["name"] = "marblewood.spans.dropped";
    Json::Value lost;
    point(lost);
    lost["asInt"] = std::to_string(dropped_);
    dropped["sum"]["dataPoints"].append(lost);
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
