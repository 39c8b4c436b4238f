/// \file
/// A new configuration names another address of discovery, and discovery answers slowly. A node that begins
/// to drain must get nothing new.
#include "../common-2/harness.hpp"

using namespace review;

namespace {

constexpr double kToldAfterReload = 4.0; // seconds after SIGHUP
constexpr double kToldAfterChange = 6.0; // seconds after discovery had the change and could be reached
constexpr double kGraceSeconds = 0.35;   // of drains, with the slack of 50 ms, and 50 ms of this script's own
constexpr double kPlayedSeconds = 22.0;  // after the change
constexpr auto kSlowAnswer = 1500ms;
constexpr auto kBetweenRequests = 100ms;
constexpr int kAtOnce = 8;

/// An address of discovery: passes calls on to the service, and each answer after `delay`.
class Address {
public:
    explicit Address(int service_port)
        : service_port_(service_port), server_([this](test::Socket &caller) { serve(caller); }),
          port(server_.port) {}
    std::atomic<int> delay_ms = 0;
    std::atomic<int> answers = 0;
    /// Accepts no new connection, and closes the open ones.
    void shut() { server_.stop(); }

private:
    void serve(test::Socket &caller) {
        test::Socket service = test::Socket::to(service_port_);
        std::thread answering([&] {
            while (service.more(600'000)) {
                std::this_thread::sleep_for(delay_ms.load() * 1ms);
                if (caller.send(service.in))
                    ++answers;
                service.in.clear();
            }
            caller.shut();
        });
        while (caller.more(600'000)) {
            service.send(caller.in);
            caller.in.clear();
        }
        service.shut();
        answering.join();
    }
    const int service_port_;
    test::Server server_;

public:
    const int port;
};

} // namespace

int main(int, char **arguments) {
    const std::string root = arguments[1];
    Record record(arguments[2]);
    const Folder folder;
    std::atomic<double> told_at = 1e9; // when the drain counts as told at the latest
    std::atomic<bool> draining = false;
    std::atomic<int> late = 0;
    std::atomic<double> last_late = 0;
    const auto node_script = [&](const std::string &id, bool drains) {
        return [&, id, drains](const std::vector<std::string> &words, int) {
            const double after = record.seconds() - told_at;
            const bool is_late = drains && after > kGraceSeconds;
            late += is_late ? 1 : 0;
            if (is_late)
                last_late = after;
            record.line("node {}: gets {} {}{}", id, words[0], words[2],
                        is_late ? fmt::format(", {:.1f} s AFTER THE DRAIN COUNTS AS TOLD", after) : "");
            return drains && draining ? std::string("-BUSY\r\n") : test::RespNode::served("v");
        };
    };
    test::RespNode first(node_script("s-1", true));
    test::RespNode second(node_script("s-2", false));
    const auto members = [&](const std::string &phase) {
        return test::member("s-1", first.server.port, 0, phase) + "," +
               test::member("s-2", second.server.port, 0);
    };
    test::Discovery discovery(members("up"));
    Address old_address(discovery.port());
    Address new_address(discovery.port());
    if (trouble())
        new_address.delay_ms = static_cast<int>(kSlowAnswer.count());
    BrokerSetup setup;
    setup.discovery = old_address.port;
    setup.known = discovery.known();
    Process broker = start_broker(root, folder, setup);
    std::this_thread::sleep_for(2s);

    setup.discovery = new_address.port;
    write_configuration(folder, setup);
    broker.signal(SIGHUP);
    const double reloaded_at = record.seconds();
    record.line("operator: new configuration, SIGHUP; discovery answers after {} ms at the new address",
                new_address.delay_ms.load());
    std::this_thread::sleep_for(1500ms);
    old_address.shut();
    record.line("discovery: the old address is gone");
    std::this_thread::sleep_for(500ms);
    discovery.change(members("draining"), test::member("s-1", first.server.port, 0, "draining"));
    const double changed_at = record.seconds();
    draining = true;
    told_at = std::max(reloaded_at + kToldAfterReload, changed_at + kToldAfterChange);
    record.line("discovery: s-1 begins to drain");
    int served = 0;
    while (record.seconds() - changed_at < kPlayedSeconds) {
        test::Socket client = test::Socket::to(setup.port);
        std::string commands;
        for (int n = 0; n < kAtOnce; ++n)
            commands += test::get(fmt::format("{:016x}", 0x100 + n));
        client.send(commands);
        for (int n = 0; n < kAtOnce; ++n) {
            const Reply reply = read_reply(client);
            served += reply.kind == Reply::Kind::Served ? 1 : 0;
            record.line("client: read: {}", name(reply.kind));
        }
        std::this_thread::sleep_for(kBetweenRequests);
    }
    record.line(
        "{} reads served; {} attempts at s-1 later than {} s after its drain counts as told, the last "
        "{:.1f} s after; {} answers written at the new address",
        served, late.load(), kGraceSeconds, last_late.load(), new_address.answers.load());
    if (const auto end = broker.end())
        cannot_run("the broker " + *end);
    if (late > 0)
        return kBroken;
    return served > 0 ? kHeld : kNotRun;
}
