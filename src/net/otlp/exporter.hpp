// OpenTelemetry over OTLP/HTTP with JSON: spans of requests and attempts, counts of outcomes, latencies.
// Spans are queued, bounded, and sent in batches by a coroutine of its own; a full queue drops them, no
// request ever waits.
#pragma once

#include "core/request_dispatcher.hpp"
#include "net/http.hpp"

#include <array>
#include <json/json.h>

namespace marblewood::net::otlp {

struct Endpoint {
    tcp::endpoint address;
    std::string host;
    Micros interval = 1'000'000; // us between batches
};
Endpoint read_endpoint(const Json::Value &otlp); // throws config::Error

class Exporter {
public:
    Exporter(asio::io_context &io, core::Deadlines &deadlines, Endpoint to, std::string name,
             const Settings &settings, const core::Metrics &figures, std::uint64_t seed);
    // One for each dispatcher, as request numbers are a dispatcher's own.
    core::RequestObserver &observer();

private:
    struct Span {
        std::uint64_t trace[2], id, parent;
        const char *name;
        Micros from, to;
        bool error;
        Json::Value attributes;
    };
    class Watcher;
    void add(Span span);
    asio::awaitable<void> work();
    asio::awaitable<void> rest(Micros length);
    asio::awaitable<bool> post(const char *path, const Json::Value &body);
    Json::Value resource() const;
    Json::Value traces(const std::vector<Span> &spans) const;
    Json::Value metrics();

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    Endpoint to_;
    std::string name_;
    const Settings &settings_;
    std::uint64_t seed_;
    Micros born_;
    std::deque<Span> spans_;
    const core::Metrics &figures_;
    std::uint64_t dropped_ = 0;
    std::array<std::uint64_t, 13> buckets_{};
    double latencies_ = 0; // ms, summed
    std::vector<std::unique_ptr<core::RequestObserver>> observers_;
    tcp::socket socket_;
};

} // namespace marblewood::net::otlp
