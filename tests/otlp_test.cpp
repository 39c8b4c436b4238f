/// \file
/// Runs the program with OTLP export to a simulated collector.
#include "helper.hpp"

#include <json/json.h>

using namespace test;

namespace {

Json::Value parse(const std::string &text) {
    Json::Value value;
    std::istringstream(text) >> value;
    return value;
}

class Collector {
public:
    explicit Collector(int failures)
        : server([this, failures](Socket &s) {
              for (;;) {
                  std::size_t head;
                  while ((head = s.in.find("\r\n\r\n")) == std::string::npos)
                      if (!s.more())
                          return;
                  const std::size_t size =
                      static_cast<std::size_t>(std::atol(s.in.c_str() + s.in.find("Content-Length: ") + 16));
                  while (s.in.size() < head + 4 + size)
                      if (!s.more())
                          return;
                  const std::string path = s.in.substr(5, s.in.find(" HTTP") - 5);
                  const std::string body = s.in.substr(head + 4, size);
                  s.in.erase(0, head + 4 + size);
                  const bool reject = calls++ < failures;
                  if (!reject) {
                      const std::lock_guard lock(mutex);
                      bodies[path].push_back(parse(body));
                  }
                  s.send(reject ? "HTTP/1.1 503 Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
                                : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
              }
          }) {}
    std::atomic<int> calls = 0;
    std::mutex mutex;
    std::map<std::string, std::vector<Json::Value>> bodies;
    Server server;
};

std::map<std::string, std::vector<Json::Value>> spans_by_name(Collector &collector) {
    std::map<std::string, std::vector<Json::Value>> found;
    const std::lock_guard lock(collector.mutex);
    for (const Json::Value &body : collector.bodies["/v1/traces"])
        for (const Json::Value &span : body["resourceSpans"][0]["scopeSpans"][0]["spans"])
            found[span["name"].asString()].push_back(span);
    return found;
}

// A batch that the collector rejects as temporarily unavailable is sent again, and its spans arrive once.
// Requests do not wait for that.
void spans_and_metrics_reach_the_collector() {
    Collector collector(1);
    RespNode node([](const auto &, int nth) { return nth == 1 ? "-ERR failed\r\n" : RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(
        discovery,
        fmt::format(R"({{"planners":3,"otlp":{{"endpoint":"127.0.0.1:{}","interval_ms":50}}}})",
                    collector.server.port),
        settings_with_relaxed_reads());
    Socket client = program.client();
    client.send(get("0000000000000001", 0, kRelaxedReadWaitMs));
    assert(client.value()->text == "v");
    std::map<std::string, std::vector<Json::Value>> spans;
    while ((spans = spans_by_name(collector))["attempt"].size() < 2 || spans["request"].empty())
        std::this_thread::sleep_for(20ms);
    assert(spans["request"].size() == 1 && spans["attempt"].size() == 2);
    const Json::Value &request = spans["request"][0];
    assert(request["traceId"].asString().size() == 32 && request["spanId"].asString().size() == 16);
    for (const Json::Value &attempt : spans["attempt"])
        assert(attempt["traceId"] == request["traceId"] && attempt["parentSpanId"] == request["spanId"]);
    assert(spans["attempt"][0]["spanId"] != spans["attempt"][1]["spanId"]);
    for (std::string served; served != "1";) { // the counts are sent by a later call
        std::this_thread::sleep_for(20ms);
        const std::lock_guard lock(collector.mutex);
        if (const auto &all = collector.bodies["/v1/metrics"]; !all.empty())
            served = all.back()["resourceMetrics"][0]["scopeMetrics"][0]["metrics"][0]["sum"]["dataPoints"][0]
                               ["asInt"]
                                   .asString();
    }
}

void an_absent_collector_harms_nothing() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(
        discovery, fmt::format(R"({{"otlp":{{"endpoint":"127.0.0.1:{}","interval_ms":50}}}})", free_port()));
    Socket client = program.client();
    for (int n = 0; n < 50; ++n) {
        client.send(get("0000000000000001"));
        assert(client.value()->text == "v");
    }
    assert(program.running());
}

} // namespace

int main() {
    spans_and_metrics_reach_the_collector();
    an_absent_collector_harms_nothing();
}
