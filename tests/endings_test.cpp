// Races at the end of a client connection, a request, an attempt, a node connection or the process. Each test
// forces one race with a fake peer that delays, writes partially, resets or closes on command, and checks
// that everything open at that moment is still handled.
#include "helper.hpp"

using namespace test;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kPiece = "7f3a9c21e0b4d655", kOther = "00000000000000bb";
const std::string kUseless = "*1\r\n$8\r\nFLUSHALL\r\n";

// Set once, by one thread; awaited by others.
class Flag {
public:
    void set() {
        const std::lock_guard lock(mutex_);
        set_ = true;
        changed_.notify_all();
    }
    void await() {
        std::unique_lock lock(mutex_);
        assert(changed_.wait_for(lock, 15s, [&] { return set_; }));
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool set_ = false;
};

const std::string kLongConnectTimeout =
    replaced(kSettings, R"("connect_timeout":250.0)", R"("connect_timeout":4000.0)");

// A node that accepts connections only after open(): until then its backlog is full, so that connection
// attempts stay pending. Afterwards it serves, and records what it received.
class LateNode {
public:
    explicit LateNode(bool backlog_full) {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in where = local(0);
        assert(::bind(fd_, reinterpret_cast<sockaddr *>(&where), sizeof where) == 0);
        socklen_t size = sizeof where;
        getsockname(fd_, reinterpret_cast<sockaddr *>(&where), &size);
        port = ntohs(where.sin_port);
        ::listen(fd_, backlog_full ? 0 : 64);
        if (backlog_full)
            fill_backlog();
    }
    ~LateNode() {
        ::shutdown(fd_, SHUT_RDWR);
        if (accepting_.joinable())
            accepting_.join();
        for (Socket &s : sockets_)
            s.shut();
        for (std::thread &thread : threads_)
            thread.join();
        ::close(fd_);
    }
    // Accepts one connection, reads one command on it, accepts no others from then on, and resets it.
    void break_one() {
        Socket s(::accept(fd_, nullptr, nullptr));
        const auto command = s.value();
        assert(command);
        ::listen(fd_, 0);
        fill_backlog();
        record(*command);
        s.reset();
    }
    void open() {
        ::listen(fd_, 64);
        for (std::size_t n = 0; n < fillers_.size(); ++n) {
            pollfd waiting{fd_, POLLIN, 0};
            if (::poll(&waiting, 1, 0) > 0)
                ::close(::accept(fd_, nullptr, nullptr));
        }
        accepting_ = std::thread([this] {
            for (int fd; (fd = ::accept(fd_, nullptr, nullptr)) >= 0;) {
                const std::lock_guard lock(mutex_);
                ++accepted;
                Socket &s = sockets_.emplace_back(fd);
                threads_.emplace_back([this, &s] {
                    while (const auto command = s.value()) {
                        record(*command);
                        s.send(RespNode::served("v"));
                    }
                });
            }
        });
    }
    std::vector<std::string> taken() { // the piece of each request
        const std::lock_guard lock(mutex_);
        return taken_;
    }
    void await_taken(std::size_t number) {
        std::unique_lock lock(mutex_);
        assert(changed_.wait_for(lock, 15s, [&] { return taken_.size() >= number; }));
    }
    int port = 0;
    std::atomic<int> accepted = 0;

private:
    void fill_backlog() { // until a connection attempt stays pending
        for (int n = 0; n < 8; ++n) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            fillers_.emplace_back(fd);
            const sockaddr_in at = local(port);
            ::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at);
            pollfd up{fd, POLLOUT, 0};
            if (::poll(&up, 1, 50) == 0)
                return;
        }
        assert(!"its queue does not fill");
    }
    void record(const resp::Value &command) {
        const std::lock_guard lock(mutex_);
        taken_.push_back(command.elements[1].text);
        changed_.notify_all();
    }
    int fd_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> taken_;
    std::list<Socket> sockets_, fillers_;
    std::list<std::thread> threads_;
    std::thread accepting_;
};

// A node that holds back all answers until `release` is set.
class HeldNode {
public:
    HeldNode()
        : node([this](const auto &, int) {
              release.await();
              return RespNode::served("v");
          }) {}
    void await_taken(std::size_t number) const {
        for (int n = 0; n < 1500 && node.taken().size() < number; ++n)
            std::this_thread::sleep_for(10ms);
        assert(node.taken().size() >= number);
    }
    Flag release;
    RespNode node;
};

void await_open(const Program &program, long number) { // number of unanswered requests
    for (int n = 0; n < 1500 && program.figures().at("current") != number; ++n)
        std::this_thread::sleep_for(10ms);
    assert(program.figures().at("current") == number);
}

// ---- A client disconnects while its request is queued ----

// A client sends `behind` after a queued request and disconnects. The disconnect has to be noticed although
// it follows unread bytes.
void a_client_that_goes_is_seen(const std::string &description, const std::string &behind) {
    fmt::print("{}\n", description);
    HeldNode held;
    const Discovery discovery(member("s-1", held.node.server.port, 0));
    const Program program(discovery);
    // As many requests as a node gets at first; later ones are queued.
    Socket one = program.client(), two = program.client();
    one.send(get(kOther, 0, 6000));
    two.send(get(kOther, 0, 6000));
    held.await_taken(2);
    {
        Socket client = program.client();
        client.send(get(kPiece, 0, 6000));
        await_open(program, 3);
        client.send(behind);
    }
    const auto disconnected = Clock::now();
    await_open(program, 2);
    assert(Clock::now() - disconnected < 1s); // otherwise it stays queued for 1.8 s
    held.release.set();
    assert(one.value()->text == "v" && two.value()->text == "v");
    one.send(get(kOther));
    assert(one.value()->text == "v");
    for (const auto &words : held.node.taken())
        assert(words[1] == kOther);
}

void clients_that_go_are_seen() {
    a_client_that_goes_is_seen("at once", "");
    a_client_that_goes_is_seen("in the middle of a message", "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a");
    std::string flood;
    for (int n = 0; n < 10'000; ++n)
        flood += kUseless;
    a_client_that_goes_is_seen("behind a few useless commands", kUseless + kUseless);
    a_client_that_goes_is_seen("behind a flood of useless commands", flood);
    a_client_that_goes_is_seen("behind what is no command", "nonsense\r\n");
    a_client_that_goes_is_seen("behind a flood that is no command", "nonsense\r\n" + flood);
    a_client_that_goes_is_seen("behind QUIT", "*1\r\n$4\r\nQUIT\r\n");
    std::string crowd;
    for (int n = 0; n < 700; ++n)
        crowd += get(kPiece, 0, 6000);
    a_client_that_goes_is_seen("behind more than one connection may ask for", crowd);
}

// ---- Between the decision and the first byte ----

// The request of a disconnected client is not sent once the connection to the node is established.
void a_client_goes_while_the_connection_comes_up() {
    LateNode node(true);
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery, "", kLongConnectTimeout);
    {
        Socket client = program.client();
        client.send(get(kPiece, 0, 6000));
        await_open(program, 1);
    }
    await_open(program, 0);
    node.open();
    while (node.accepted == 0)
        std::this_thread::sleep_for(5ms);
    Socket client = program.client();
    client.send(get(kOther, 0, 6000));
    assert(client.value()->text == "v" && node.taken() == std::vector<std::string>{kOther});
}

// A request is not sent if its node is announced as draining while the connection to it is being established.
void a_node_drains_while_its_connection_comes_up() {
    LateNode node(true);
    const std::string up = member("s-1", node.port, 0);
    Discovery discovery(up);
    const Program program(discovery, "", kLongConnectTimeout);
    Socket client = program.client();
    client.send(get(kPiece, 0, 6000));
    await_open(program, 1);
    discovery.change(member("s-1", node.port, 0, "draining"));
    discovery.await_taken();
    node.open();
    assert(client.value()->text.starts_with("BUSY") && node.accepted > 0 && node.taken().empty());
    discovery.change(up);
    discovery.await_taken();
    client.send(get(kOther, 0, 6000));
    assert(client.value()->text == "v" && node.taken() == std::vector<std::string>{kOther});
}

// A write with an idempotency key that may have run is retried only within the deduplication window, also
// when the connection for the retry is established only afterwards.
void a_window_for_repeats_ends_while_the_connection_comes_up() {
    LateNode node(false);
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(
        discovery, "", replaced(kLongConnectTimeout, R"("dedup_window":4000.0)", R"("dedup_window":400.0)"));
    Socket client = program.client();
    client.send(put(kPiece, "body", 0, 5000));
    node.break_one();
    std::this_thread::sleep_for(450ms); // the deduplication window
    node.open();
    while (node.accepted == 0)
        std::this_thread::sleep_for(5ms);
    assert(client.value()->text == "ERR failed" && node.taken().size() == 1);
}

// If the connection is established within the deduplication window, the write is retried.
void a_repeat_within_its_window_is_sent() {
    LateNode node(false);
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery, "", kLongConnectTimeout);
    Socket client = program.client();
    client.send(put(kPiece, "body", 0, 5000));
    node.break_one();
    node.open();
    assert(client.value()->text == "v" && node.taken().size() == 2);
}

// No second attempt is made for a client that disconnects during the first.
void a_client_goes_before_the_second_attempt() {
    Flag disconnected;
    RespNode node([&](const auto &words, int nth) {
        if (words[1] == kPiece && nth == 1) {
            disconnected.await();
            return std::string("-ERR failed\r\n");
        }
        return RespNode::served("v");
    });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    {
        Socket client = program.client();
        client.send(get(kPiece, 0, 6000));
        while (node.taken().empty())
            std::this_thread::sleep_for(5ms);
    }
    await_open(program, 0);
    disconnected.set();
    Socket client = program.client();
    client.send(get(kOther));
    assert(client.value()->text == "v");
    std::this_thread::sleep_for(100ms); // five times the delay before a retry
    assert(node.taken().size() == 2);
}

// A node answers twice, the second time some milliseconds later, when it may have the next request already.
// The second answer must not be taken for that request's.
void a_second_answer_that_comes_late_is_nobodys() {
    Server node([](Socket &s) {
        while (const auto command = s.value()) {
            const std::string answer = RespNode::served(command->elements[1].text);
            s.send(answer);
            const auto sent = Clock::now();
            std::this_thread::sleep_for(4ms);
            if (Clock::now() - sent < 7ms)
                s.send(answer); // skipped if the machine was too busy to keep the delay
        }
    });
    const Discovery discovery(member("s-1", node.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    for (int n = 0; n < 20; ++n) {
        const std::string piece = fmt::format("{:016x}", n);
        client.send(get(piece));
        assert(client.value()->text == piece);
    }
}

// ---- The end of a connection ----

// A message that is not completed ends the connection, but an answer that is being written then is completed
// first.
void an_answer_is_written_whole_before_a_connection_ends() {
    const std::string value(3'000'000, 'v');
    RespNode node([&](const auto &, int) { return RespNode::served(value); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    Socket client = program.client();
    client.send(get(kPiece) + get(kPiece) + get(kPiece)); // more than the socket buffers hold
    while (client.in.empty())
        client.more();
    client.send("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a"); // the rest is never sent
    std::this_thread::sleep_for(3s); // past the message timeout, with the answers still unread
    for (int n = 0; n < 3; ++n) {
        const auto answer = client.value();
        assert(answer && answer->text == value);
    }
    assert(client.value()->text.starts_with("ERR Protocol error") && client.ended());
}

// The last answers arrive before the end of the connection even if the client sent more bytes than the broker
// reads.
void unread_bytes_do_not_take_the_last_answer() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program program(discovery);
    for (int n = 0; n < 20; ++n) {
        Socket client = program.client();
        std::string behind = "nonsense\r\n";
        behind.resize(200'000, 'x');
        client.send(get(kPiece) + behind);
        assert(client.value()->text == "v" && client.value()->text.starts_with("ERR Protocol error"));
    }
}

// ---- The end of the process ----

// Connections with a written request that are in the backlog when the last open ones are closed: they are
// accepted and answered. The process is stopped over that moment.
void requests_in_the_queue_at_the_end_are_answered() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    Program program(discovery);
    Socket first = program.client();
    first.send(get(kPiece));
    assert(first.value()->text == "v");
    const auto from = Clock::now(); // closes connections after 2.65 s and exits after 3.05 s
    program.signal(SIGTERM);
    std::this_thread::sleep_until(from + 2300ms);
    program.signal(SIGSTOP);
    std::list<Socket> last;
    for (int n = 0; n < 12; ++n) {
        last.push_back(program.client());
        last.back().send(get(kPiece));
    }
    std::this_thread::sleep_until(from + 2750ms);
    program.signal(SIGCONT);
    for (Socket &s : last) {
        const auto answer = s.value();
        assert(answer && (answer->text == "v" || answer->text.starts_with("BUSY")));
    }
    assert(first.ended() && program.exit_code() == 0);
}

// ---- Descriptors ----

// Clients use up their share of the descriptors, some idle, some with a partial message, while discovery is
// down. Connections to discovery and nodes are still established, and new requests are served.
void full_descriptors_leave_room_for_discovery_and_nodes() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    std::optional<Discovery> discovery(std::in_place, member("s-1", node.server.port, 0));
    const int port = discovery->port();
    const Program program(*discovery); // configured with 256 descriptors
    discovery.reset();
    std::list<Socket> crowd;
    for (int n = 0; n < 500; ++n) {
        crowd.push_back(program.client());
        if (n % 2)
            crowd.back().send("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a");
        assert(program.descriptors() <= 256);
    }
    Discovery back(member("s-2", node.server.port, 3), port);
    back.change(member("s-2", node.server.port, 3));
    back.await_taken();
    Socket client = program.client();
    client.send(get(kPiece, 3, 4000));
    const auto answer = client.value();
    assert(answer && answer->text == "v" && program.descriptors() <= 256);
}

// ---- The start ----

// Another process still uses the address: the start waits for it.
void a_start_waits_for_its_address() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const Discovery discovery(member("s-1", node.server.port, 0));
    const Program other(discovery); // provides a directory and a configuration
    std::optional<Server> holder(std::in_place, [](Socket &) {});
    std::ifstream file(other.path("config.json"));
    std::string config((std::istreambuf_iterator<char>(file)), {});
    for (const int port : {other.port, other.control}) // replaces its address by one in use
        config = replaced(config, fmt::format("127.0.0.1:{}", port),
                          fmt::format("127.0.0.1:{}", port == other.port ? holder->port : free_port()));
    other.write("held.json", config);
    std::filesystem::create_directory(other.path("its-own")); // otherwise it would start a hot restart
    Child child;
    child.start({"--config", other.path("held.json")}, other.path("held.log"), other.path("its-own"), 0);
    const auto logged = [&] {
        std::ostringstream text;
        text << std::ifstream(other.path("held.log")).rdbuf();
        return text.str().find("is held by another process") != std::string::npos;
    };
    for (int n = 0; n < 500 && !logged(); ++n)
        std::this_thread::sleep_for(10ms);
    assert(logged());
    const int port = holder->port;
    holder.reset();
    for (int n = 0; n < 500; ++n, std::this_thread::sleep_for(10ms)) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        Socket s(fd);
        const sockaddr_in at = local(port);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0)
            continue;
        s.send("*1\r\n$4\r\nPING\r\n");
        assert(s.value()->text == "PONG" && child.running());
        return;
    }
    assert(!"it does not serve");
}

// A broker becomes ready even if discovery is unreachable, does not answer, or fails.
void a_start_does_not_wait_for_discovery() {
    RespNode node([](const auto &, int) { return RespNode::served("v"); });
    const std::string up = member("s-1", node.server.port, 0);
    for (const std::string behaviour : {"gone", "silent", "failing"}) {
        std::optional<Discovery> discovery(std::in_place, up);
        discovery->silence(behaviour == "silent");
        discovery->failures = behaviour == "failing" ? 1000 : 0;
        const Discovery *known = &*discovery;
        struct Unreachable {
            int at;
            std::string list;
            int port() const { return at; }
            std::string known() const { return list; }
        } const unreachable{free_port(), discovery->known()};
        const auto from = Clock::now();
        const auto program =
            behaviour == "gone" ? std::make_unique<Program>(unreachable) : std::make_unique<Program>(*known);
        assert(Clock::now() - from < 5s);
        Socket client = program->client();
        client.send(get(kPiece));
        assert(client.value()->text == "v");
    }
}

} // namespace

int main() {
    clients_that_go_are_seen();
    a_client_goes_while_the_connection_comes_up();
    a_node_drains_while_its_connection_comes_up();
    a_window_for_repeats_ends_while_the_connection_comes_up();
    a_repeat_within_its_window_is_sent();
    a_client_goes_before_the_second_attempt();
    a_second_answer_that_comes_late_is_nobodys();
    an_answer_is_written_whole_before_a_connection_ends();
    unread_bytes_do_not_take_the_last_answer();
    requests_in_the_queue_at_the_end_are_answered();
    full_descriptors_leave_room_for_discovery_and_nodes();
    a_start_waits_for_its_address();
    a_start_does_not_wait_for_discovery();
}
