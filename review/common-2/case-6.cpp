/// \file
/// Some good answers of an NVMe/TCP node to reads are followed by a second copy. Clients must be served the
/// values that were written, or get an error or a refusal.
#include "nvme_target.hpp"

using namespace review;

int main(int, char **arguments) {
    constexpr std::uint32_t kBlockBytes = 4096;
    constexpr int kPieces = 8;
    constexpr int kReads = 120;
    constexpr int kSpoiltOneIn = 10;
    const std::string root = arguments[1];
    Record record(arguments[2]);
    const Folder folder;

    NvmeTarget target(kBlockBytes);
    std::atomic<int> reads = 0;
    target.on_answer = [&](bool write, std::uint64_t block, std::string answer) {
        if (write || ++reads % kSpoiltOneIn != 0 || !trouble())
            return answer;
        record.line("node s-1: the answer to the read of block {:x} is sent with a second copy behind it",
                    block);
        return answer + answer;
    };
    const test::Discovery discovery(test::member("s-1", target.server.port, 0));
    BrokerSetup setup;
    setup.discovery = discovery.port();
    setup.known = discovery.known();
    setup.operators = nvme_operator(kBlockBytes);
    Process broker = start_broker(root, folder, setup);

    test::Socket client = test::Socket::to(setup.port);
    const auto piece = [](int n) { return fmt::format("{:016x}", 0x100 + n); };
    const auto value = [](int n) { return fmt::format("value of piece {} ", n) + std::string(1000, 'v'); };
    for (int n = 0; n < kPieces; ++n) {
        client.send(test::put(piece(n), value(n)));
        const Reply reply = read_reply(client);
        record.line("client: write of piece {}: {}", piece(n), name(reply.kind));
        if (reply.kind != Reply::Kind::Served)
            cannot_run("a write was not served");
    }
    int served = 0;
    int wrong = 0;
    for (int n = 0; n < kReads; ++n, std::this_thread::sleep_for(20ms)) {
        const int wanted = n % kPieces;
        client.send(test::get(piece(wanted)));
        const Reply reply = read_reply(client);
        const bool served_wrong = reply.kind == Reply::Kind::Served && reply.value != value(wanted);
        served += reply.kind == Reply::Kind::Served ? 1 : 0;
        wrong += served_wrong ? 1 : 0;
        record.line("client: read of piece {}: {}, {} bytes{}", piece(wanted), name(reply.kind),
                    reply.value.size(),
                    served_wrong ? fmt::format(" INSTEAD OF THE {} WRITTEN", value(wanted).size()) : "");
        if (reply.kind == Reply::Kind::Closed)
            cannot_run("the client's connection was closed");
    }
    record.line("{} reads: {} served, {} of them with a value that the node did not make", kReads, served,
                wrong);
    if (const auto end = broker.end())
        cannot_run("the broker " + *end);
    if (wrong > 0)
        return kBroken;
    return served > 0 ? kHeld : kNotRun;
}
