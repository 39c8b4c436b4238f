// The watch on the list of nodes, where discovery is rarely at its best: it falls silent, answers late, cut
// short, without end, with something older or with something else. A bad answer changes nothing, and what
// discovery has is known within 6 s of the time from which it could be asked.
#include "helper.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655";
constexpr auto kKnown = 6s;

std::string list(int revision, const std::string &members, bool complete = true) {
    return fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", revision, complete, members);
}
std::string whole(const std::string &body) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

// Discovery by script: it is told of each call and writes what it likes.
class Scripted {
public:
    struct Call {
        int nth = 0;    // from 1
        int since = -1; // -1: the whole list is asked for
        int wait = 0;   // ms
        Clock::time_point at;
        const Socket *from = nullptr; // its connection
    };
    // False: the connection ends here.
    using Script = std::function<bool(const Call &, Socket &)>;
    // A broker is told that it has `known`, at revision 5.
    Scripted(std::string known, Script script)
        : known_(list(5, known)), script_(std::move(script)), server_([this](Socket &s) { serve(s); }) {}

    std::string known() const { return known_; }
    int port() const { return server_.port; }
    Call await(int nth) { // until so many calls have come; the last of them
        std::unique_lock lock(mutex_);
        assert(came_.wait_for(lock, 15s, [&] { return static_cast<int>(calls_.size()) >= nth; }));
        return calls_[static_cast<std::size_t>(nth) - 1];
    }

private:
    void serve(Socket &s) {
        while (const auto head = next_head(s)) {
            Call call{0, number_after(*head, "since=", -1), number_after(*head, "timeout_ms=", 0),
                      Clock::now(), &s};
            {
                const std::lock_guard lock(mutex_);
                call.nth = static_cast<int>(calls_.size()) + 1;
                calls_.push_back(call);
            }
            came_.notify_all();
            if (!script_(call, s))
                return;
        }
    }
    const std::string known_;
    Script script_;
    std::mutex mutex_;
    std::condition_variable came_;
    std::vector<Call> calls_;
    Server server_;
};

std::string site(bool pushed) {
    std::string settings = kSettings;
    const std::string asked = R"("membership_mode":"on_request")";
    if (pushed)
        settings.replace(settings.find(asked), asked.size(), R"("membership_mode":"pushed")");
    return settings;
}
std::string ask(const Program &program, int shard = 0, int wait = 600) {
    Socket client = program.client();
    client.send(get(kPiece, shard, wait));
    return client.value()->text;
}
RespNode::Script serves() {
    return [](const auto &, int) { return RespNode::served("v"); };
}

// A call that is never answered, on a connection that stays open: the next one comes on a connection of its
// own, in time for what was missed to be known within 6 s of the silence.
void a_silent_watch_is_opened_anew() {
    for (const bool pushed : {false, true}) {
        RespNode node(serves());
        const std::string up = member("s-1", node.server.port, 0),
                          leaving = member("s-1", node.server.port, 0, "draining");
        Scripted discovery(up, [&](const Scripted::Call &call, Socket &s) {
            if (call.nth == 2)
                s.send(whole(list(6, leaving, false)));
            return true; // the first and all after the second get no answer
        });
        const Program program(discovery, "", site(pushed));
        const auto silent = discovery.await(1);
        assert(silent.since == 5 && silent.wait > 0);
        assert(ask(program) == "v"); // the list that there is serves
        const auto again = discovery.await(2);
        assert(again.since == 5 && again.at - silent.at < kKnown);
        assert(again.from != silent.from);
        assert(discovery.await(3).since == 6); // it was taken
        const auto before = node.taken().size();
        assert(ask(program).starts_with("BUSY") && node.taken().size() == before);
    }
}

// Calls that fail, one after another: refused with 503, reset, or ended without an answer. However many have
// failed, the next comes soon; and not at once, each time, since discovery serves all brokers.
void failed_calls_are_repeated_within_bounds() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0);
    constexpr int kFailed = 9;
    Scripted discovery(up, [&](const Scripted::Call &call, Socket &s) {
        if (call.nth > kFailed) {
            s.send(whole(list(6, member("s-1", node.server.port, 0, "draining"))));
            return call.nth == kFailed + 1;
        }
        if (call.nth % 3 == 0)
            s.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        if (call.nth % 3 == 1)
            s.reset();
        return call.nth % 3 == 0;
    });
    const Program program(discovery);
    Clock::duration longest{}, all{};
    for (int n = 2; n <= kFailed + 1; ++n) {
        const auto gap = discovery.await(n).at - discovery.await(n - 1).at;
        longest = std::max(longest, gap), all += gap;
    }
    assert(longest < kKnown / 2 && all > 1s);
    discovery.await(kFailed + 2);
    assert(ask(program).starts_with("BUSY"));
}

// Each of these changes nothing, and discovery is asked again within the time; then a good one is taken.
void a_bad_list_changes_nothing() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0),
                      gone = member("s-2", node.server.port, 3); // a list without the node
    const std::string good = list(7, gone);
    const std::map<std::string, std::string> bad{
        {"cut short by the end", whole(good).substr(0, whole(good).size() - 7)},
        {"no length, cut short", "HTTP/1.1 200 OK\r\n\r\n" + good.substr(0, good.size() - 7)},
        {"chunks without their end",
         fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", good.size(),
                     good)},
        {"another status", "HTTP/1.1 206 Partial\r\nContent-Length: 2\r\n\r\n{}"},
        {"no JSON", whole(good + "x")},
        {"no object", whole("[]")},
        {"no revision", whole(R"({"complete":true,"members":[]})")},
        {"members are no list", whole(R"({"revision":7,"complete":true,"members":{}})")},
        {"a member is no object", whole(list(7, gone + ",7"))},
        {"an unknown phase", whole(list(7, gone + "," + member("s-3", 1, 0, "resting")))},
        {"a cell that is no number",
         whole(list(7, gone + R"(,{"id":"s-3","host_port":"127.0.0.1:1","cell":"x","phase":"up"})"))},
        {"an older list", whole(list(4, gone))},
        {"an older change", whole(list(3, member("s-1", 1, 0, "removed"), false))},
        {"a length beyond all bounds", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{"},
        {"no HTTP", "\x16\x03\x01nonsense\r\n\r\n"}};
    for (const auto &[name, bytes] : bad) {
        fmt::print("{}\n", name);
        std::atomic<bool> serve = false;
        Scripted discovery(up, [&, &bytes = bytes](const Scripted::Call &call, Socket &s) {
            if (call.nth == 1) {
                s.send(bytes);
                return false;
            }
            for (int n = 0; n < 1000 && !serve; ++n)
                std::this_thread::sleep_for(5ms);
            s.send(whole(list(8, up)));
            return call.nth < 4;
        });
        const Program program(discovery);
        const auto first = discovery.await(1), second = discovery.await(2);
        assert(second.at - first.at < kKnown);
        assert(ask(program) == "v"); // and the node is where it was
        serve = true;
        assert(discovery.await(3).since == 8);
        assert(ask(program) == "v");
    }
}

// An answer that goes on without end: neither its head, its body nor its trailers fill the memory or hold the
// watch beyond its time.
void an_endless_answer_is_given_up() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0);
    for (const auto &[head, more] : std::map<std::string, std::string>{
             {"HTTP/1.1 200 OK\r\nX-A: ", std::string(60'000, 'a')},
             {"HTTP/1.1 200 OK\r\n\r\n[", std::string(60'000, ' ')},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", std::string(6000, 'a') + "\r\n"},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"}}) {
        std::atomic<bool> go = false;
        Scripted discovery(up, [&, &head = head, &more = more](const Scripted::Call &call, Socket &s) {
            if (call.nth > 1) {
                s.send(whole(list(8, up)));
                return call.nth < 3;
            }
            for (int n = 0; n < 300 && !go; ++n)
                std::this_thread::sleep_for(1ms);
            s.send(head);
            std::string piece;
            while (piece.size() < 60'000)
                piece += more;
            while (s.send(piece))
                ;
            return false;
        });
        const Program program(discovery);
        const auto first = discovery.await(1);
        const auto before = program.memory_kb();
        go = true;
        const auto second = discovery.await(2);
        assert(second.at - first.at < kKnown && program.memory_kb() < before + 24 * 1024);
        assert(discovery.await(3).since == 8 && ask(program) == "v");
    }
}

// Lists may come indented, in small pieces, after interim answers; a second copy behind an answer is not
// taken for the answer to the next call.
void odd_but_whole_lists_are_taken() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0);
    std::string indented = list(6, "\n    " + member("s-1", node.server.port, 0, "draining") + "\n");
    for (std::size_t at = 0; (at = indented.find(",\"", at)) != std::string::npos; at += 8)
        indented.replace(at, 1, ",\r\n\t   ");
    Scripted discovery(up, [&](const Scripted::Call &call, Socket &s) {
        if (call.nth == 1) {
            const std::string answer = "HTTP/1.1 103 Early Hints\r\n\r\n" + whole(indented + "\n");
            for (std::size_t at = 0; at < answer.size(); at += 97)
                s.send(answer.substr(at, 97));
        }
        if (call.nth == 2)
            s.send(whole(list(7, up)) + whole(list(7, up)));
        if (call.nth == 3)
            s.send(whole(list(8, member("s-1", node.server.port, 0, "draining"))));
        return true;
    });
    const Program program(discovery);
    assert(discovery.await(2).since == 6);
    assert(discovery.await(3).since == 7);
    assert(discovery.await(4).since == 8);
    assert(ask(program).starts_with("BUSY") && node.taken().empty());
}

// Discovery comes back and counts anew. It is asked for its whole list, and believed once that says so again.
void discovery_may_count_anew() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0);
    Scripted discovery(up, [&](const Scripted::Call &call, Socket &s) {
        if (call.nth == 1)
            s.send(whole(list(2, "", false)));
        if (call.nth == 2)
            s.send(whole(list(2, member("s-1", node.server.port, 0, "draining"))));
        return true;
    });
    const Program program(discovery);
    const auto first = discovery.await(1), second = discovery.await(2);
    assert(second.since == -1 && second.at - first.at < kKnown);
    assert(discovery.await(3).since == 2);
    assert(ask(program).starts_with("BUSY") && node.taken().empty());
}

// Discovery moves while it has news: what is told at the old address counts until the new one has told its
// whole list, and not after.
void a_move_loses_nothing_on_the_way() {
    RespNode node(serves()), other(serves());
    const std::string up = member("s-1", node.server.port, 0), more = member("s-2", other.server.port, 1);
    Discovery before(up + "," + more);
    std::atomic<bool> answer = false;
    Scripted after(up, [&](const Scripted::Call &call, Socket &s) {
        while (!answer)
            std::this_thread::sleep_for(1ms);
        if (call.nth == 1)
            s.send(whole(list(2, member("s-1", node.server.port, 0, "draining") + "," + more)));
        return true;
    });
    const Program program(before);
    program.configure(after);
    program.signal(SIGHUP);
    assert(after.await(1).since == -1);
    before.change(member("s-1", node.server.port, 0, "draining") + "," + more);
    before.await_taken();
    assert(ask(program, 0, 300).starts_with("BUSY") && node.taken().empty());
    answer = true;
    assert(after.await(2).since == 2);
    before.change(member("s-2", other.server.port, 1, "draining"));
    assert(ask(program, 1, 4000) == "v"); // not heard any more
}

// All brokers are moved at once, and discovery has too many callers for a whole list to each: the changes
// alone are asked for then, which is far less work, and the whole list a while later.
void a_crowded_discovery_is_asked_for_changes_first() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0),
                      leaving = member("s-1", node.server.port, 0, "draining");
    const Discovery before(up); // at revision 1
    Scripted after(up, [&](const Scripted::Call &call, Socket &s) {
        if (call.nth == 1)
            s.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        else if (call.since < 0)
            s.send(whole(list(9, up)));
        else if (call.nth == 2)
            s.send(whole(list(2, leaving, false)));
        else if (call.since < 9) { // nothing new
            std::this_thread::sleep_for(call.wait * 1ms);
            s.send(whole(list(call.since, "", false)));
        }
        return true;
    });
    const Program program(before);
    program.configure(after);
    program.signal(SIGHUP);
    const auto moved = after.await(1);
    assert(moved.since == -1);
    const auto pause = after.await(2).at - moved.at; // who asks again soon keeps it crowded
    assert(after.await(2).since == 1 && pause >= 990ms && pause < kKnown / 2);
    assert(after.await(3).since == 2);
    assert(ask(program, 0, 300).starts_with("BUSY") && node.taken().empty());
    int nth = 3;
    while (after.await(nth).since >= 0)
        ++nth; // 5 s to 15 s later
    assert(after.await(nth).at - moved.at > 3s && after.await(nth).at - moved.at < 20s);
    assert(after.await(nth + 1).since == 9 && ask(program) == "v");
}

// Brokers that watch the same discovery do not renew in step, or a fleet would call all at once.
void renewals_are_spread() {
    RespNode node(serves());
    const std::string up = member("s-1", node.server.port, 0);
    Scripted discovery(up, [&](const Scripted::Call &call, Socket &s) {
        s.send(whole(list(call.nth == 1 ? 6 : 7, up)));
        return call.nth < 8;
    });
    const Program program(discovery);
    std::set<int> waits;
    for (int n = 1; n <= 8; ++n) {
        const auto call = discovery.await(n);
        assert(call.wait > 0 && call.wait <= 3200);
        waits.insert(call.wait);
    }
    assert(waits.size() > 3);
}

} // namespace

int main() {
    a_silent_watch_is_opened_anew();
    failed_calls_are_repeated_within_bounds();
    a_bad_list_changes_nothing();
    an_endless_answer_is_given_up();
    odd_but_whole_lists_are_taken();
    discovery_may_count_anew();
    a_move_loses_nothing_on_the_way();
    a_crowded_discovery_is_asked_for_changes_first();
    renewals_are_spread();
}
