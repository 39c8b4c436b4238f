// Clients that go on asking on their open connections until these end, and what became of each request.
#pragma once

#include "../helper.hpp"

#include <deque>
#include <random>

namespace test {

using Clock = std::chrono::steady_clock;

inline const std::string kPiece = "7f3a9c21e0b4d655", kHanging = "00000000000000aa";

/// The usual settings with other deadlines for the two classes, and a plan whose limit nobody reaches.
inline std::string with_deadlines(int read_ms, int write_ms) {
    std::string settings = kSettings;
    const auto replace = [&settings](const std::string &usual, const std::string &other) {
        settings.replace(settings.find(usual), usual.size(), other);
    };
    replace(R"("hard_limit":1500.0)", fmt::format(R"("hard_limit":{}.0)", read_ms));
    replace(R"("hard_limit":2500.0)", fmt::format(R"("hard_limit":{}.0)", write_ms));
    replace(R"("nominal":700.0)", R"("nominal":70000.0)");
    replace(R"("reserve":800.0)", R"("reserve":80000.0)");
    return settings;
}
/// From SIGTERM until the process may be ended by force.
inline std::chrono::milliseconds kill_after(int longest_ms) {
    return std::chrono::milliseconds(std::min(longest_ms, 3000) + 700);
}

/// What became of the requests of many clients.
struct RequestTally {
    std::atomic<long> sent = 0, served = 0, refused = 0, failed = 0;
    /// Ended without an answer after the client could see the end, or within kCrossing of being written.
    std::atomic<long> crossed = 0;
    /// Of those, the ones that reached the broker's machine before it ended the connection.
    std::atomic<long> crossed_unread = 0;
    std::atomic<long> widest_us = 0; ///< the longest time of these from being written to the end
    /// Written on an open connection which then ended without their answers.
    std::atomic<long> lost = 0;
    /// Answered over kMayBeLate after the time for which the client waits.
    std::atomic<long> late = 0;
    static constexpr auto kMayBeLate = 500ms;

    std::string summary() const {
        return fmt::format(
            "sent {} served {} refused {} failed {} crossed {} (unread {}, within {} us) lost {} late {}",
            sent.load(), served.load(), refused.load(), failed.load(), crossed.load(), crossed_unread.load(),
            widest_us.load(), lost.load(), late.load());
    }
};

/// How a client uses its connections.
struct LoopHabits {
    std::string piece = kPiece;              ///< asked for first on each connection
    std::string next_piece = kPiece;         ///< and then
    int wait_ms = 250;                       ///< for which it says it waits
    bool writes = false;                     ///< asks for writes with a key, else for reads
    std::size_t depth = 1;                   ///< requests open at once on a connection
    std::chrono::microseconds pause = 0us;   ///< from an answer to the next request
    std::size_t pieces = 1;                  ///< a request is written in so many
    std::chrono::microseconds between = 0us; ///< those
    int requests = 0;                        ///< on one connection, before the next is opened; 0: no bound
    bool reconnects = false;                 ///< opens a new connection after the broker ended one
};

/// One client. A thread writes, and another reads what comes, so that each sees its moment.
class LoopClient {
public:
    /// How long before its connection's end a request may have been written and count as crossing the end:
    /// the other side looks for bytes and ends the connection in two system calls, and both sides share cores
    /// with others, so that a thread may wait some ms for its turn.
    static constexpr auto kCrossing = 20ms;

    LoopClient(int port, LoopHabits habits, RequestTally &tally)
        : port_(port), habits_(std::move(habits)), tally_(tally), thread_([this] { run(); }) {}
    ~LoopClient() {
        {
            const std::lock_guard lock(mutex_);
            over_ = true;
        }
        changed_.notify_all();
        thread_.join();
    }
    /// Until it has seen its connection's end, where it does not reconnect.
    void await_end() const {
        for (const auto until = Clock::now() + 15s; !ended_; std::this_thread::sleep_for(1ms))
            assert(Clock::now() < until);
    }

private:
    static constexpr std::size_t kBodyBytes = 4096;
    struct Open {
        std::string id;
        Clock::time_point written; // its last byte
        bool end_seen;             // the connection's end had come before that
    };

    void run() {
        do {
            if (!connect()) {
                std::this_thread::sleep_for(2ms);
                continue;
            }
            use_connection();
        } while (habits_.reconnects && !over_);
        ended_ = true;
    }
    bool connect() {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in at = local(port_);
        socket_.emplace(fd);
        return ::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
    }
    void use_connection() {
        open_.clear();
        ended_at_.reset();
        std::thread reader([this] { read(); });
        int asked = 0;
        for (; await_room() && (habits_.requests == 0 || asked < habits_.requests); ++asked)
            if (!write(asked == 0 ? habits_.piece : habits_.next_piece, asked == 0 ? 1 : habits_.pieces))
                break;
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return over_ || ended_at_ || open_.empty(); });
        if (!ended_at_)
            socket_->shut(); // it has asked all it wanted
        lock.unlock();
        reader.join();
    }
    // Until another request may be open; false: the connection has ended.
    bool await_room() {
        std::unique_lock lock(mutex_);
        const bool waits = open_.size() >= habits_.depth;
        changed_.wait(lock, [this] { return over_ || ended_at_ || open_.size() < habits_.depth; });
        if (waits)
            changed_.wait_for(lock, habits_.pause, [this] { return over_ || ended_at_; });
        return !over_ && !ended_at_;
    }
    // False: the connection has ended under it, which is no request then.
    bool write(const std::string &piece, std::size_t pieces) {
        const std::string id = fresh_id();
        const std::string request =
            habits_.writes ? put_keyed(piece, id) : get(piece, 0, habits_.wait_ms, id);
        const std::size_t length = request.size() / pieces + 1;
        std::size_t at = 0;
        for (; at + length < request.size(); at += length) {
            if (!socket_->send(request.substr(at, length)))
                return false;
            std::unique_lock lock(mutex_);
            if (changed_.wait_for(lock, habits_.between, [this] { return over_ || ended_at_; }))
                return false;
        }
        const std::lock_guard lock(mutex_); // the answer is taken after that
        if (!socket_->send(request.substr(at)))
            return false;
        ++tally_.sent;
        open_.push_back({id, Clock::now(), end_seen()});
        return true;
    }
    std::string put_keyed(const std::string &piece, const std::string &id) const {
        return resp::command({"OBJ.PUT", piece, id,
                              fmt::format("c=new-write,t=standard,d={},k={},volume=00000003b4d60021,"
                                          "units=2,shard=0,hosts=1",
                                          habits_.wait_ms, id),
                              std::string(kBodyBytes, 'b')});
    }
    bool end_seen() const {
        pollfd end{socket_->descriptor(), POLLRDHUP, 0};
        return ::poll(&end, 1, 0) > 0;
    }
    void read() {
        while (const auto answer = next_answer()) {
            const std::lock_guard lock(mutex_);
            take(*answer);
            changed_.notify_all();
        }
        const std::lock_guard lock(mutex_);
        ended_at_ = Clock::now();
        if (!over_)
            judge_open();
        changed_.notify_all();
    }
    std::optional<resp::Value> next_answer() {
        while (!over_ && socket_->in.empty() && socket_->silent_for(20)) {}
        return over_ ? std::nullopt : socket_->value();
    }
    void take(const resp::Value &answer) {
        assert(!open_.empty()); // an answer that nobody asked for
        const auto due = std::chrono::milliseconds(habits_.wait_ms) + RequestTally::kMayBeLate;
        if (Clock::now() - open_.front().written > due)
            ++tally_.late;
        if (answer.text.starts_with("BUSY"))
            ++tally_.refused;
        else if (answer.text == "ERR failed")
            ++tally_.failed;
        else {
            const std::string &value = answer.elements.empty() ? answer.text : answer.elements[0].text;
            assert(value == open_.front().id);
            ++tally_.served;
        }
        open_.pop_front();
    }
    int port_of() const {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        ::getsockname(socket_->descriptor(), reinterpret_cast<sockaddr *>(&at), &size);
        return ntohs(at.sin_port);
    }
    void judge_open() {
        for (const Open &request : open_) {
            const auto after = *ended_at_ - request.written;
            if (!request.end_seen && after > kCrossing) {
                ++tally_.lost;
                fmt::print("lost: request {} on port {} at {:.3f} ended after {} us\n", request.id, port_of(),
                           std::chrono::duration<double>(ended_at_->time_since_epoch()).count(),
                           std::chrono::duration_cast<std::chrono::microseconds>(after).count());
                continue;
            }
            ++tally_.crossed;
            if (request.end_seen)
                continue;
            ++tally_.crossed_unread;
            const long us = std::chrono::duration_cast<std::chrono::microseconds>(after).count();
            long widest = tally_.widest_us;
            while (us > widest && !tally_.widest_us.compare_exchange_weak(widest, us)) {}
        }
        std::fflush(stdout);
    }

    const int port_;
    const LoopHabits habits_;
    RequestTally &tally_;
    std::optional<Socket> socket_;
    std::mutex mutex_; // for what follows
    std::condition_variable changed_;
    std::deque<Open> open_;
    std::optional<Clock::time_point> ended_at_; // when it saw the connection's end
    std::atomic<bool> over_ = false, ended_ = false;
    std::thread thread_;
};

} // namespace test
