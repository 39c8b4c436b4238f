/// \file
/// Clients that send requests on their open connections until these are closed, and count the outcome of each
/// request.
#pragma once

#include "../helper.hpp"

#include <deque>
#include <random>

namespace test {

using Clock = std::chrono::steady_clock;

/// The usual piece, and the one for which the tests' nodes don't answer in time.
inline const std::string kPiece = "7f3a9c21e0b4d655", kHanging = "00000000000000aa";

/// kSettings with the given deadlines for the two classes, and with a plan limit so high that no test reaches
/// it.
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
/// The time from SIGTERM until the platform may kill the process (app::ShutdownSchedule), given the longest
/// client deadline.
inline std::chrono::milliseconds kill_after(int longest_ms) {
    return std::chrono::milliseconds(std::min(longest_ms, 3000) + 700);
}

/// Counts the outcomes of the requests of many clients.
struct RequestTally {
    std::atomic<long> sent = 0, served = 0, refused = 0, failed = 0;
    /// Requests without an answer that crossed the broker's close of the connection: written after the client
    /// could see the close, or at most LoopClient::kCrossingWindow before it.
    std::atomic<long> crossed = 0;
    /// Of those, the requests that had reached the broker's machine before it closed the connection.
    std::atomic<long> crossed_unread = 0;
    std::atomic<long> max_crossing_us = 0; ///< of these, the longest time from being written to the close
    /// Requests written on an open connection that was then closed without an answer to them.
    std::atomic<long> lost = 0;
    /// Whether a node has taken the request with this id. If set, such a request counts as lost, however
    /// shortly before the close it was written.
    std::function<bool(const std::string &id)> taken_by_node = nullptr;
    /// Requests answered more than kLateTolerance after the time for which the client waits.
    std::atomic<long> late = 0;
    static constexpr auto kLateTolerance = 500ms;

    std::string summary() const {
        return fmt::format(
            "sent {} served {} refused {} failed {} crossed {} (unread {}, within {} us) lost {} late {}",
            sent.load(), served.load(), refused.load(), failed.load(), crossed.load(), crossed_unread.load(),
            max_crossing_us.load(), lost.load(), late.load());
    }
};

/// How a client uses its connections.
struct LoopOptions {
    std::string piece = kPiece;      ///< of the first request on each connection
    std::string next_piece = kPiece; ///< of all later requests
    int wait_ms = 250;               ///< the time for which the client waits, as its requests state
    bool writes = false;             ///< sends writes with an idempotency key instead of reads
    std::size_t depth = 1;           ///< requests open at once on a connection
    /// From an answer to the next request, if the client had to wait for the answer.
    std::chrono::microseconds pause = 0us;
    std::size_t fragments = 1; ///< number of parts in which a later request is written
    std::chrono::microseconds fragment_interval = 0us; ///< pause between these parts
    int requests = 0;        ///< requests on one connection before the client closes it; 0: unlimited
    bool reconnects = false; ///< opens a new connection after one has been closed
};

/// One client. One thread writes requests and another reads answers, so that neither delays the other and the
/// recorded times are exact.
class LoopClient {
public:
    /// A request written at most this long before the connection's close counts as crossing it. The broker
    /// checks for unread bytes and closes the connection in two system calls, and both sides share cores with
    /// other processes, so that a thread may wait some ms to be scheduled in between.
    static constexpr auto kCrossingWindow = 20ms;

    LoopClient(int port, LoopOptions options, RequestTally &tally)
        : port_(port), options_(std::move(options)), tally_(tally), thread_([this] { run(); }) {}
    ~LoopClient() {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        thread_.join();
    }
    /// Waits until the client has seen its connection closed; only for clients that do not reconnect.
    void await_end() const {
        for (const auto until = Clock::now() + 15s; !finished_; std::this_thread::sleep_for(1ms))
            assert(Clock::now() < until);
    }

private:
    static constexpr std::size_t kBodyBytes = 4096;
    struct OpenRequest {
        std::string id;
        Clock::time_point written; // when its last byte was written
        bool end_seen;             // whether the close of the connection had arrived before that
    };

    void run() {
        do {
            if (!connect()) {
                std::this_thread::sleep_for(2ms);
                continue;
            }
            use_connection();
        } while (options_.reconnects && !stopping_);
        finished_ = true;
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
        int sent = 0;
        for (; await_free_slot() && (options_.requests == 0 || sent < options_.requests); ++sent)
            if (!write(sent == 0 ? options_.piece : options_.next_piece, sent == 0 ? 1 : options_.fragments))
                break;
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || ended_at_ || open_.empty(); });
        if (!ended_at_)
            socket_->shut(); // all requests of this connection are sent, or the client is being destroyed
        lock.unlock();
        reader.join();
    }
    // Waits until another request may be sent; returns false if the connection has been closed or the client
    // is being destroyed.
    bool await_free_slot() {
        std::unique_lock lock(mutex_);
        const bool waits = open_.size() >= options_.depth;
        changed_.wait(lock, [this] { return stopping_ || ended_at_ || open_.size() < options_.depth; });
        if (waits)
            changed_.wait_for(lock, options_.pause, [this] { return stopping_ || ended_at_; });
        return !stopping_ && !ended_at_;
    }
    // Returns false if the connection was closed before the request was complete; it then does not count as
    // sent.
    bool write(const std::string &piece, std::size_t fragments) {
        const std::string id = fresh_id();
        const std::string request =
            options_.writes ? put_keyed(piece, id) : get(piece, 0, options_.wait_ms, id);
        const std::size_t length = request.size() / fragments + 1;
        std::size_t at = 0;
        for (; at + length < request.size(); at += length) {
            if (!socket_->send(request.substr(at, length)))
                return false;
            std::unique_lock lock(mutex_);
            if (changed_.wait_for(lock, options_.fragment_interval,
                                  [this] { return stopping_ || ended_at_; }))
                return false;
        }
        // The reader must not process the answer before the request is recorded.
        const std::lock_guard lock(mutex_);
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
                                          options_.wait_ms, id),
                              std::string(kBodyBytes, 'b')});
    }
    bool end_seen() const {
        pollfd end{socket_->descriptor(), POLLRDHUP, 0};
        return ::poll(&end, 1, 0) > 0;
    }
    void read() {
        while (const auto answer = next_answer()) {
            const std::lock_guard lock(mutex_);
            count_answer(*answer);
            changed_.notify_all();
        }
        const std::lock_guard lock(mutex_);
        ended_at_ = Clock::now();
        if (!stopping_)
            count_unanswered();
        else
            count_overdue();
        changed_.notify_all();
    }
    std::optional<resp::Value> next_answer() {
        while (!stopping_ && socket_->in.empty() && socket_->silent_for(20)) {}
        return stopping_ ? std::nullopt : socket_->value();
    }
    void count_answer(const resp::Value &answer) {
        assert(!open_.empty()); // else the answer belongs to no request
        if (Clock::now() - open_.front().written > due())
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
    Clock::duration due() const {
        return std::chrono::milliseconds(options_.wait_ms) + RequestTally::kLateTolerance;
    }
    // Counts the requests whose answer is overdue while the client is being destroyed.
    void count_overdue() {
        for (const OpenRequest &request : open_)
            tally_.late += Clock::now() - request.written > due();
    }
    int local_port() const {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        ::getsockname(socket_->descriptor(), reinterpret_cast<sockaddr *>(&at), &size);
        return ntohs(at.sin_port);
    }
    void count_unanswered() {
        for (const OpenRequest &request : open_) {
            const auto after = *ended_at_ - request.written;
            const bool taken = tally_.taken_by_node && tally_.taken_by_node(request.id);
            if (!request.end_seen && (taken || after > kCrossingWindow)) {
                ++tally_.lost;
                fmt::print("lost: request {} on port {} at {:.3f} ended after {} us\n", request.id,
                           local_port(), std::chrono::duration<double>(ended_at_->time_since_epoch()).count(),
                           std::chrono::duration_cast<std::chrono::microseconds>(after).count());
                continue;
            }
            ++tally_.crossed;
            if (request.end_seen)
                continue;
            ++tally_.crossed_unread;
            const long us = std::chrono::duration_cast<std::chrono::microseconds>(after).count();
            long max_us = tally_.max_crossing_us;
            while (us > max_us && !tally_.max_crossing_us.compare_exchange_weak(max_us, us)) {}
        }
        std::fflush(stdout);
    }

    const int port_;
    const LoopOptions options_;
    RequestTally &tally_;
    std::optional<Socket> socket_;
    std::mutex mutex_; // guards the members below up to ended_at_
    std::condition_variable changed_;
    std::deque<OpenRequest> open_;
    std::optional<Clock::time_point> ended_at_; // when the reader saw the connection closed
    std::atomic<bool> stopping_ = false, finished_ = false;
    std::thread thread_;
};

} // namespace test
