/// \file
/// Exports OpenTelemetry data by OTLP/HTTP with JSON: spans of requests and attempts, counts of outcomes, and
/// a histogram of latencies. A separate coroutine sends the spans in batches from a bounded queue. A full
/// queue drops spans, so that no request ever waits for the export.
#pragma once

#include "core/request_dispatcher.hpp"
#include "net/http.hpp"

#include <array>
#include <json/json.h>

namespace marblewood::net::otlp {

/// The configured collector.
struct Endpoint {
    tcp::endpoint address;
    std::string host;
    Micros interval = 1'000'000; ///< between exports
};
/// Throws config::Error.
Endpoint read_endpoint(const Json::Value &otlp);

/// Used on the event loop's thread. Runs for as long as `io` does.
class Exporter {
public:
    Exporter(asio::io_context &io, core::Deadlines &deadlines, Endpoint endpoint, std::string instance_name,
             const Settings &settings, const core::Metrics &metrics, std::uint64_t seed);
    /// Creates an observer. Each dispatcher needs its own, because request numbers are unique only within a
    /// dispatcher.
    core::RequestObserver &observer();

private:
    struct Span {
        std::uint64_t trace[2], id, parent;
        const char *name;
        Micros from, until;
        bool error;
        Json::Value attributes;
    };
    class SpanRecorder;
    void add(Span span);
    asio::awaitable<void> export_repeatedly();
    asio::awaitable<void> wait(Micros duration);
    asio::awaitable<bool> post(const char *path, const Json::Value &body);
    Json::Value resource() const;
    Json::Value traces(const std::vector<Span> &spans) const;
    Json::Value metrics();

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    Endpoint endpoint_;
    std::string instance_name_;
    const Settings &settings_;
    std::uint64_t seed_;
    Micros started_at_;
    std::deque<Span> spans_;
    const core::Metrics &metrics_;
    std::uint64_t dropped_ = 0;
    std::array<std::uint64_t, 13> buckets_{};
    double latency_sum_ms_ = 0;
    std::vector<std::unique_ptr<core::RequestObserver>> observers_;
    tcp::socket socket_;
};

} // namespace marblewood::net::otlp
