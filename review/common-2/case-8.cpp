/// \file
/// Some answers of RESP2 nodes announce a length that does not fit their value. Clients must be served the
/// value that the node made, or get an error or a refusal.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int kReads = 400;
constexpr int kSpoiltOneIn = 10;
constexpr int kMostExtraBytes = 16;

/// A node's answer whose bulk string is announced as `extra_bytes` longer than it is.
std::string answer_of(const std::string &value, const std::string &figures, int extra_bytes) {
    std::string answer =
        fmt::format("*3\r\n${}\r\n{}\r\n", value.size() + static_cast<std::size_t>(extra_bytes), value);
    if (figures.empty())
        answer += "$-1\r\n";
    else
        test::resp::put_bulk(answer, figures);
    return answer + "$-1\r\n";
}

} // namespace

int main(int, char **arguments) {
    Record record(arguments[2]);
    const Folder folder;
    std::atomic<int> answers = 0;
    const auto value_of = [](const std::string &piece) { return "value of piece " + piece; };
    // Both nodes hold the same shard. Their answers hold figures on use or null, as the protocol allows.
    const auto script = [&](const std::string &figures) {
        return [&, figures](const std::vector<std::string> &words, int) {
            const int nth = ++answers;
            const bool spoilt = trouble() && nth % kSpoiltOneIn == 0;
            const int extra_bytes = spoilt ? 1 + nth / kSpoiltOneIn % kMostExtraBytes : 0;
            if (spoilt)
                record.line("node: its answer for piece {} announces {} bytes too many", words[1],
                            extra_bytes);
            return answer_of(value_of(words[1]), figures, extra_bytes);
        };
    };
    test::RespNode first(script("used=37"));
    test::RespNode second(script(""));
    const test::Discovery discovery(test::member("s-1", first.server.port, 0) + "," +
                                    test::member("s-2", second.server.port, 0));
    BrokerSetup setup;
    setup.discovery = discovery.port();
    setup.known = discovery.known();
    Process broker = start_broker(arguments[1], folder, setup);

    int served = 0;
    int wrong = 0;
    for (int n = 0; n < kReads; ++n, std::this_thread::sleep_for(20ms)) {
        const std::string piece = fmt::format("{:016x}", 0x100 + n);
        test::Socket client = test::Socket::to(setup.port);
        client.send(test::get(piece));
        const Reply reply = read_reply(client);
        const bool served_wrong = reply.kind == Reply::Kind::Served && reply.value != value_of(piece);
        served += reply.kind == Reply::Kind::Served ? 1 : 0;
        wrong += served_wrong ? 1 : 0;
        record.line("client: read of piece {}: {}, {} bytes{}", piece, name(reply.kind), reply.value.size(),
                    served_wrong ? fmt::format(" INSTEAD OF {}", value_of(piece).size()) : "");
    }
    record.line("{} reads: {} served, {} of them with a value that no node made", kReads, served, wrong);
    if (const auto end = broker.end())
        cannot_run("the broker " + *end);
    if (wrong > 0)
        return kBroken;
    return served > 0 ? kHeld : kNotRun;
}
