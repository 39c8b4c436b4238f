/// \file
/// Clients read long values slowly and send their next command meanwhile. Each client must get the whole of
/// the value.
#include "harness.hpp"

using namespace review;

namespace {

constexpr std::size_t kValueBytes = 4 << 20;
constexpr int kClients = 4;
constexpr std::size_t kReadBytes = 7'000; // each 10 ms: 0.7 MB/s
constexpr auto kBetweenReads = 10ms;
constexpr int kReceiveBuffer = 65536;
constexpr double kNextCommandAt = 5.0;
constexpr double kMostSeconds = 15;

struct Totals {
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
};

/// A client whose machine has a small receive buffer.
int dial_with_small_buffer(int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    const sockaddr_in address = test::local(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        cannot_run("a client can't connect");
    return descriptor;
}

void read_slowly(Record &record, int port, int number, double started_at, Totals &totals) {
    test::Socket client(dial_with_small_buffer(port));
    const std::string head = fmt::format("${}\r\n", kValueBytes);
    const std::size_t wanted = head.size() + kValueBytes + 2;
    client.send(test::get(fmt::format("{:016x}", 0x100 + number)));
    record.line("client {}: sends a read, and reads {}", number,
                trouble() ? fmt::format("{} kB a second", kReadBytes / 10) : "as fast as it can");
    std::size_t received = 0;
    bool sent_next = false;
    std::string end = "has got enough";
    char chunk[kReadBytes];
    while (received < wanted && record.seconds() - started_at < kMostSeconds) {
        if (!sent_next && record.seconds() - started_at > kNextCommandAt) {
            sent_next = client.send(test::get(fmt::format("{:016x}", 0x200 + number)));
            record.line("client {}: sends its next command, {} of {} bytes read", number, received, wanted);
            sent_next = true;
        }
        const auto got = ::recv(client.descriptor(), chunk, sizeof chunk, 0);
        if (got <= 0) {
            end = got == 0 ? "sees the end of the connection" : fmt::format("sees: {}", std::strerror(errno));
            break;
        }
        received += static_cast<std::size_t>(got);
        if (trouble())
            std::this_thread::sleep_for(kBetweenReads);
    }
    const bool whole = received >= wanted;
    if (whole && !sent_next && client.send(test::get(fmt::format("{:016x}", 0x200 + number)))) {
        const Reply next = read_reply(client);
        record.line("client {}: sends its next command after the value: {}", number, name(next.kind));
    }
    (whole ? totals.whole : totals.cut) += 1;
    record.line("client {}: {}; {} of {} bytes of its value{}", number, end, std::min(received, wanted),
                wanted, whole ? "" : ", THE REST IS LOST");
}

} // namespace

int main(int, char **arguments) {
    Record record(arguments[2]);
    const Folder folder;
    test::RespNode node([](const auto &words, int) {
        return words[1] < "0000000000000200" ? test::RespNode::served(std::string(kValueBytes, 'v'))
                                             : test::RespNode::served("v");
    });
    const test::Discovery discovery(test::member("s-1", node.server.port, 0));
    BrokerSetup setup;
    setup.discovery = discovery.port();
    setup.known = discovery.known();
    Process broker = start_broker(arguments[1], folder, setup);

    Totals totals;
    const double started_at = record.seconds();
    std::list<std::thread> clients;
    for (int number = 0; number < kClients; ++number)
        clients.emplace_back([&, number] { read_slowly(record, setup.port, number, started_at, totals); });
    for (std::thread &client : clients)
        client.join();
    if (const auto end = broker.end())
        cannot_run("the broker " + *end);
    record.line("{} values whole, {} cut off", totals.whole.load(), totals.cut.load());
    return totals.cut > 0 ? kBroken : kHeld;
}
