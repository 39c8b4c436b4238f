/// \file
/// Distributors as processes between discovery and brokers. Changes must reach the brokers while one
/// distributor has failed, hangs or is behind, and no data from discovery or from callers may corrupt the
/// list.
#include "helper.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kMaxUpdateDelay = 7s; // from a change in discovery until all brokers have applied it

std::string members(int count, const std::string &phase = "up") {
    std::string all;
    for (int n = 0; n < count; ++n)
        all += (n ? "," : "") + member(fmt::format("s-{}", n), 1 + n, n, n == 0 ? phase : "up");
    return all;
}

/// Deletes the folder in its destructor.
class TemporaryFolder {
public:
    TemporaryFolder() : path_(std::filesystem::temp_directory_path() / "marblewood-distribute-XXXXXX") {
        assert(::mkdtemp(path_.data()));
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    std::string file(const std::string &name) const { return path_ + "/" + name; }
    const std::string &path() const { return path_; }

private:
    std::string path_;
};

class Distributor {
public:
    explicit Distributor(int parent, const std::string &name = "d0", const std::string &more = "")
        : name_(name) {
        std::ofstream(folder_.file("distributor.json"))
            << fmt::format(R"({{"name":"{}","listen":"127.0.0.1:{}","control":"127.0.0.1:{}","zone":"a",)"
                           R"("region":"r","parents":[{{"name":"discovery","address":"127.0.0.1:{}"}}]{}}})",
                           name, port, control, parent, more);
        start();
    }
    void start() {
        child.start({"distribute", folder_.file("distributor.json")}, folder_.file("log"), folder_.path(), 0);
        for (int n = 0; n < 500 && admin_call(control, "GET", "health").first != 200; ++n)
            std::this_thread::sleep_for(10ms);
    }
    long figure(const std::string &name) const { // without the prefix `distribution.`
        const auto [status, body] = admin_call(control, "GET", "stats");
        assert(status == 200);
        const std::size_t at = body.find("distribution." + name + ":");
        assert(at != std::string::npos);
        return std::atol(body.c_str() + body.find(':', at) + 1);
    }
    void await(const std::string &name, long least) const {
        for (int n = 0; n < 1500 && figure(name) < least; ++n)
            std::this_thread::sleep_for(10ms);
        assert(figure(name) >= least);
    }
    std::string entry() const {
        return fmt::format(R"({{"name":"{}","address":"127.0.0.1:{}","zone":"a","region":"r"}})", name_,
                           port);
    }
    const int port = free_port(), control = free_port();
    Child child;

private:
    const std::string name_;
    TemporaryFolder folder_;
};

std::string operator_file(const std::vector<const Distributor *> &distributors) {
    std::string entries;
    for (const Distributor *distributor : distributors)
        entries += (entries.empty() ? "" : ",") + distributor->entry();
    return fmt::format(R"({{"distribution":{{"zone":"a","region":"r","distributors":[{}]}}}})", entries);
}

void await_node_count(const Program &broker, long count, Clock::time_point changed) {
    while (broker.figures().at("cluster_size") != count) {
        assert(Clock::now() - changed < kMaxUpdateDelay);
        std::this_thread::sleep_for(20ms);
    }
}

/// Sends one call on a new connection. Returns the status and the body.
std::pair<int, std::string> http_get(int port, const std::string &target) {
    Socket caller = Socket::to(port);
    caller.send(fmt::format("GET {} HTTP/1.1\r\nHost: d\r\n\r\n", target));
    while (caller.in.find("\r\n\r\n") == std::string::npos)
        assert(caller.more());
    const std::size_t body = caller.in.find("\r\n\r\n") + 4;
    const auto length = static_cast<std::size_t>(number_after(caller.in, "Content-Length: ", -1));
    while (caller.in.size() < body + length)
        assert(caller.more());
    return {std::atoi(caller.in.c_str() + 9), caller.in.substr(body)};
}

std::string list_body(int revision, const std::string &body, bool complete) {
    return fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", revision, complete, body);
}
std::string http_response(const std::string &body) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

// What operators tell all brokers goes through two levels, is applied completely or not at all, and the
// version in force is reported back.
void documents_reach_brokers_and_reports_come_back() {
    Discovery discovery(members(3));
    const TemporaryFolder folder;
    const auto write = [&](const std::string &text) { std::ofstream(folder.file("documents.json")) << text; };
    write(R"({"version":1,"operations":{"cordons":[]}})");
    Distributor top(discovery.port(), "d0",
                    fmt::format(R"(,"documents":{{"file":"{}"}})", folder.file("documents.json")));
    Distributor below(
        top.port, "d1", // also gets the list from the first one
        fmt::format(R"(,"documents":{{"parents":[{{"name":"d0","address":"127.0.0.1:{}"}}]}})", top.port));
    below.await("members", 3);
    std::string operator_text = operator_file({&below});
    operator_text.insert(operator_text.find("\"zone\""), "\"documents\":true,");
    Program broker(discovery, operator_text);
    const auto in_force = [&] { return broker.figures().at("configuration_version"); };
    const auto await_version = [&](long version, Clock::time_point since) {
        while (in_force() != version) {
            assert(Clock::now() - since < kMaxUpdateDelay);
            std::this_thread::sleep_for(20ms);
        }
    };
    await_version(1, Clock::now());
    write(R"({"version":2,"operations":{"cordons":["s-1","s-not-there"]}})");
    top.child.signal(SIGHUP);
    await_version(2, Clock::now());
    assert(broker.figures().at("cluster_unhealthy") == 1);
    top.await("documents.brokers_with_version", 1); // reported through the distributor `below`
    assert(top.figure("documents.brokers") == 1);

    for (const char *const invalid :
         {R"({"version":3,"operations":{"cordons":"all"}})", R"({"version":2,"operations":{"cordons":[]}})",
          R"({"version":1,"operations":{"cordons":[]}})", "{"}) {
        write(invalid);
        top.child.signal(SIGHUP);
    }
    std::this_thread::sleep_for(300ms);
    assert(top.figure("documents.version") == 2 && in_force() == 2);

    write(R"({"version":5,"operations":{"cordons":[]}})");
    top.child.signal(SIGHUP);
    await_version(5, Clock::now());
    assert(broker.figures().at("cluster_unhealthy") == 0);
    assert(broker.figures().at("configuration_refused") == 0);
}

// A newer distributor may send a document that this broker cannot decode. The document in force must stay,
// and be reported as the one in force.
void a_wrong_document_is_refused_by_the_broker() {
    Discovery discovery(members(2));
    std::atomic<int> version = 1;
    const auto document = [&]() -> std::string {
        const char *const operations = version == 2 ? R"({"cordons":[7]})" : R"({"cordons":["s-1"]})";
        return list_body(
            version, fmt::format(R"({{"id":"operations","phase":"up","document":{}}})", operations), true);
    };
    std::mutex mutex;
    std::string applied; // as the broker last reported it
    Server distributor([&](Socket &s) {
        while (const auto head = next_head(s)) {
            if (head->find("/v1/documents") == std::string::npos)
                return;
            {
                const std::lock_guard lock(mutex);
                const std::size_t at = head->find("applied=");
                applied = at == std::string::npos ? "" : head->substr(at + 8, 1);
            }
            if (number_after(*head, "since=", -1) == version)
                std::this_thread::sleep_for(50ms);
            s.send(number_after(*head, "since=", -1) == version ? http_response(list_body(version, "", false))
                                                                : http_response(document()));
        }
    });
    const std::string operator_text =
        fmt::format(R"({{"distribution":{{"zone":"a","region":"r","documents":true,"distributors":)"
                    R"([{{"name":"d0","address":"127.0.0.1:{}","zone":"a","region":"r"}}]}}}})",
                    distributor.port);
    Program broker(discovery, operator_text);
    const auto await = [&](const char *figure, long value) {
        for (int n = 0; n < 700 && broker.figures().at(figure) != value; ++n)
            std::this_thread::sleep_for(10ms);
        assert(broker.figures().at(figure) == value);
    };
    await("configuration_version", 1);
    version = 2;
    await("configuration_refused", 1);
    std::this_thread::sleep_for(300ms);
    assert(broker.figures().at("configuration_version") == 1);
    assert(broker.figures().at("cluster_unhealthy") == 1); // the cordon of version 1
    {
        const std::lock_guard lock(mutex);
        assert(applied == "1");
    }
    broker.await_log("cordons[0]");
    version = 3;
    await("configuration_version", 3);
    assert(broker.figures().at("configuration_refused") == 1);
}

/// The one of the two distributors that the broker calls: the one with callers.
Distributor &called_by_broker(Distributor &a, Distributor &b) {
    return a.figure("callers") > 0 ? a : b;
}

void changes_reach_brokers_though_a_distributor_is_lost_or_silent() {
    Discovery discovery(members(3));
    Distributor a(discovery.port(), "d0"), b(discovery.port(), "d1");
    a.await("members", 3), b.await("members", 3);
    Program broker(discovery, operator_file({&a, &b}));
    await_node_count(broker, 3, Clock::now());
    discovery.change(members(4), member("s-3", 4, 3));
    await_node_count(broker, 4, Clock::now());
    while (a.figure("callers") + b.figure("callers") == 0)
        std::this_thread::sleep_for(10ms);

    Distributor &silent = called_by_broker(a, b);
    silent.child.signal(SIGSTOP);
    discovery.change(members(5), member("s-4", 5, 4));
    await_node_count(broker, 5, Clock::now());
    Distributor &other = &silent == &a ? b : a;
    discovery.change(members(6), member("s-5", 6, 5));
    await_node_count(broker, 6, Clock::now());
    silent.child.signal(SIGCONT); // continues with an outdated log
    silent.await("members", 6);

    other.child.kill();
    discovery.change(members(7), member("s-6", 7, 6));
    await_node_count(broker, 7, Clock::now());
    other.start(); // without a list
    other.await("members", 7);
    assert(a.figure("answers_whole") + b.figure("answers_whole") == 0);
}

void a_new_distributor_has_nothing_to_say_until_it_knows_the_list() {
    Discovery discovery(members(2));
    discovery.failures = 1'000'000;
    const Distributor distributor(discovery.port());
    assert(http_get(distributor.port, "/v1/servers?since=0&timeout_ms=10").first == 503);
    assert(http_get(distributor.port, "/v1/servers").first == 503);
    discovery.failures = 0;
    distributor.await("members", 2);
    const auto [status, body] = http_get(distributor.port, "/v1/servers");
    assert(status == 200 && body.find("\"complete\":true") != std::string::npos);
    assert(body.find("\"flavor\":\"m\"") != std::string::npos); // passed on without being interpreted
    const auto [again, same] = http_get(distributor.port, "/v1/servers?since=1&timeout_ms=0");
    assert(again == 200 && same == R"({"revision":1,"complete":false,"members":[]})");
    // The distributor is behind the caller.
    assert(http_get(distributor.port, "/v1/servers?since=9&timeout_ms=0").first == 503);
}

// Invalid answers of discovery must not be applied, and the known list must stay.
void bad_answers_change_nothing() {
    const std::string good = list_body(40, members(2), true);
    const std::string invalid[] = {
        http_response("{\"revision\":41,\"complete\":true,\"members\":[{"),               // malformed
        http_response(list_body(41, R"({"id":"s-0","phase":"asleep","cell":0})", false)), // an unknown phase
        http_response(list_body(41, R"({"phase":"up","cell":0})", true)),                 // without an id
        http_response(list_body(39, members(1), true)),                                   // older
        http_response(list_body(39, member("s-0", 1, 0, "removed"), false)),              // replayed
        http_response("[1,2,3]"),                                                         // not an object
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",                            // oversized
        "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":41",                 // truncated
        "HTTP/1.1 200 OK\r\n" + std::string(40'000, 'x'),                                 // an endless head
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    };
    std::atomic<std::size_t> answers_sent = 0;
    Server discovery([&](Socket &s) {
        while (const auto head = next_head(s)) {
            if (head->find("since=") == std::string::npos && answers_sent == 0) {
                s.send(http_response(good));
                continue;
            }
            const std::size_t n = answers_sent++;
            if (n >= std::size(invalid)) {
                s.send(http_response(list_body(42, member("s-9", 9, 9), false)));
                std::this_thread::sleep_for(100ms);
                continue;
            }
            s.send(invalid[n]);
            return;
        }
    });
    const Distributor distributor(discovery.port);
    while (answers_sent <= std::size(invalid)) {
        assert(distributor.figure("members") <= 3);
        const long revision = distributor.figure("revision");
        assert(revision == -1 || revision == 40 || revision == 42);
        std::this_thread::sleep_for(20ms);
    }
    distributor.await("revision", 42);
    assert(distributor.figure("members") == 3);
    assert(distributor.figure("parent_malformed") == 4 && distributor.figure("parent_older") == 2);
    assert(distributor.figure("parent_failed") == 4);
}

void bad_calls_are_refused() {
    Discovery discovery(members(2));
    Distributor distributor(discovery.port(), "d0", R"(,"most_callers":4)");
    distributor.await("members", 2);
    for (const char *const target : {"/v1/other", "/v1/servers?since=x", "/v1/servers?since=-1",
                                     "/v1/servers?since=1&timeout_ms=99999999999999999999"})
        assert(http_get(distributor.port, target).first == 400);
    for (const std::string &text : {std::string("nonsense\r\n\r\n"), std::string(20'000, 'x'),
                                    std::string("POST /v1/servers HTTP/1.1\r\n\r\n")}) {
        Socket caller = Socket::to(distributor.port);
        caller.send(text);
        assert(caller.ended());
    }
    assert(distributor.figure("malformed_calls") >= 5);
    std::vector<Socket> callers;
    for (int n = 0; n < 4; ++n)
        callers.push_back(Socket::to(distributor.port));
    distributor.await("callers", 4);
    Socket fifth = Socket::to(distributor.port);
    assert(fifth.ended());
    assert(distributor.figure("turned_away") == 1);
    callers.front().send("GET /v1/servers?since=1&timeout_ms=0 HTTP/1.1\r\n\r\nGET /v1/ser");
    while (callers.front().in.find("\"members\":[]}") == std::string::npos)
        assert(callers.front().more());
    callers.clear();
    while (distributor.figure("callers") > 0)
        std::this_thread::sleep_for(10ms);
}

// An invalid configuration must be reported in one line that names the field, with a non-zero exit code.
// Guards against cutting off a list that its caller reads slowly, with its next call behind it.
void a_slow_caller_gets_its_whole_list() {
    constexpr int kNodes = 3'200;
    constexpr int kReceiveBufferBytes = 65'536;
    constexpr std::size_t kBytesPerRead = 8'000;
    Discovery discovery(members(kNodes));
    const Distributor distributor(discovery.port());
    distributor.await("members", kNodes);
    const Socket caller = Socket::to(distributor.port, kReceiveBufferBytes);
    const std::string call = "GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n";
    const std::string whole = http_get(distributor.port, "/v1/servers").second;
    caller.send(call);
    std::string received;
    bool sent_next = false;
    while (received.size() < 2 * whole.size()) {
        if (!sent_next && received.size() > whole.size() / 2)
            sent_next = caller.send(call);
        std::string chunk(kBytesPerRead, '\0');
        const auto got = ::recv(caller.descriptor(), chunk.data(), chunk.size(), 0);
        assert(got > 0);
        received.append(chunk, 0, static_cast<std::size_t>(got));
        std::this_thread::sleep_for(50ms);
    }
    const std::size_t first = received.find(whole);
    assert(whole.size() > 4 * kReceiveBufferBytes && first != std::string::npos);
}

void a_bad_configuration_is_one_line() {
    const std::string rest = R"("listen":"127.0.0.1:1","zone":"a","region":"r")";
    const std::string parents = R"("parents":[{"name":"p","address":"127.0.0.1:1"}])";
    const std::pair<std::string, std::string> invalid[] = {
        {"{" + rest + "," + parents + "}", "name"},
        {R"({"name":"d",)" + rest + R"(,"parents":[]})", "parents"},
        {R"({"name":"d",)" + rest + R"(,"parents":[{"name":"p","address":"nowhere"}]})", "parents.address"},
        {R"({"name":"d",)" + rest + "," + parents + R"(,"machine_bytes_per_second":-1})",
         "machine_bytes_per_second"},
        {R"({"name":"d",)" + rest + "," + parents + R"(,"most_callers":"many"})", "most_callers"},
        {R"({"name":"d",)" + rest + "," + parents + R"(,"speed":1})", "speed"},
        {R"({"name":"d",)" + rest +
             R"(,"parents":[{"name":"p","address":"127.0.0.1:1"},)"
             R"({"name":"p","address":"127.0.0.1:2"}]})",
         "parents"},
        {"{", ""},
    };
    for (const auto &[text, field] : invalid) {
        const TemporaryFolder folder;
        std::ofstream(folder.file("distributor.json")) << text;
        Child child;
        child.start({"distribute", folder.file("distributor.json")}, folder.file("log"), folder.path(), 0);
        assert(child.exit_code() != 0);
        std::ostringstream output;
        output << std::ifstream(folder.file("log")).rdbuf();
        const std::string line = output.str();
        assert(std::count(line.begin(), line.end(), '\n') == 1);
        if (line.find(field) == std::string::npos)
            fmt::print("{}: {}", field, line);
        assert(line.find(field) != std::string::npos);
    }
}

void a_brokers_own_part_is_checked() {
    const TemporaryFolder folder;
    std::ofstream(folder.file("config.json")) << fmt::format(
        R"({{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}}})", kSettings);
    for (const auto &[part, field] :
         {std::pair(R"({"zone":"a","region":"r","distributors":[]})", "distribution.distributors"),
          std::pair(R"({"zone":"a","region":"r","distributors":[{"name":"d","address":"x","zone":"a",)"
                    R"("region":"r"}]})",
                    "distribution.distributors.address")}) {
        std::ofstream(folder.file("operator.json")) << fmt::format(R"({{"distribution":{}}})", part);
        Child child;
        child.start({"check-config", "--config", folder.file("config.json"), "--operator",
                     folder.file("operator.json")},
                    folder.file("log"), folder.path(), 0);
        assert(child.exit_code() == 1);
        std::ostringstream output;
        output << std::ifstream(folder.file("log")).rdbuf();
        assert(output.str().find(field) != std::string::npos);
    }
}

} // namespace

int main() {
    changes_reach_brokers_though_a_distributor_is_lost_or_silent();
    documents_reach_brokers_and_reports_come_back();
    a_wrong_document_is_refused_by_the_broker();
    a_new_distributor_has_nothing_to_say_until_it_knows_the_list();
    bad_answers_change_nothing();
    bad_calls_are_refused();
    a_slow_caller_gets_its_whole_list();
    a_bad_configuration_is_one_line();
    a_brokers_own_part_is_checked();
}
