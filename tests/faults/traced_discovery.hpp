/// \file
/// A discovery service with faults, which records when it wrote which revision of its list: from then on the
/// broker counts as told.
#pragma once

#include "../helper.hpp"

#include <algorithm>

namespace test {

/// A node as the list has it.
struct ListedNode {
    std::string id;
    int port = 0;
    int shard = 0;
    std::string phase = "up";
    std::string entry() const { return member(id, port, shard, phase); }
};

class TracedDiscovery {
public:
    using Clock = std::chrono::steady_clock;
    /// An answer that has been written to a connection.
    struct Write {
        int connection = 0; ///< counts the accepted connections from 1
        int revision = 0;
        Clock::time_point at;
    };
    /// A call that has arrived.
    struct Call {
        int connection = 0;
        int since = -1; ///< -1: the complete list is requested
        Clock::time_point at;
    };

    explicit TracedDiscovery(std::vector<ListedNode> nodes)
        : known_(encode(1, nodes, true)), nodes_(std::move(nodes)), server_([this](Socket &s) { serve(s); }) {
        changes_.push_back({});
    }
    ~TracedDiscovery() {
        stopping_ = true;
        changed_.notify_all();
    }
    int port() const { return server_.port; }
    /// The list at revision 1.
    std::string known() const { return known_; }

    /// The complete list as it is now.
    std::string current() const {
        const std::lock_guard lock(mutex_);
        return answer(kNoList);
    }

    /// Publishes a node's new phase: "up", "draining" or "removed". Returns the new revision.
    int set_phase(const std::string &id, const std::string &phase) {
        std::unique_lock lock(mutex_);
        const auto node = std::ranges::find(nodes_, id, &ListedNode::id);
        assert(node != nodes_.end());
        ListedNode changed = *node;
        lock.unlock();
        changed.phase = phase;
        return publish({changed});
    }
    /// Publishes new and changed entries as one revision, which is returned.
    int publish(const std::vector<ListedNode> &entries) {
        const std::lock_guard lock(mutex_);
        for (const ListedNode &entry : entries) {
            std::erase_if(nodes_, [&](const ListedNode &node) { return node.id == entry.id; });
            nodes_.push_back(entry);
        }
        changes_.push_back(entries);
        changed_.notify_all();
        return revision();
    }
    /// Connections from number `first` on are read, but not answered, until this is called with a higher one.
    void answer_connections_before(int first) { set(first_unanswered_, first); }
    /// Connections up to number `last` are read, but not answered.
    void answer_connections_after(int last) { set(last_unanswered_, last); }
    void answer_all_connections() {
        answer_connections_before(kNoConnection);
        answer_connections_after(0);
    }
    /// Waits this long before each answer, as a service does that handles many calls in turn.
    void delay_answers(std::chrono::milliseconds delay) { delay_ms_ = static_cast<int>(delay.count()); }
    /// The next calls fail, with status 503 or by a close.
    void fail_calls(int calls, bool with_status) {
        fails_with_status_ = with_status;
        failures_ = calls;
    }

    /// Closes all connections, and each new one at its first call.
    void close() {
        closed_ = true;
        changed_.notify_all();
    }

    int connections() const { return server_.accepted; }
    /// Waits until calls have arrived on `number` connections.
    void await_connections(int number) const {
        std::unique_lock lock(mutex_);
        const auto have_called = [&] {
            std::set<int> callers;
            for (const Call &call : calls_)
                callers.insert(call.connection);
            return static_cast<int>(callers.size()) >= number;
        };
        assert(changed_.wait_for(lock, 15s, have_called));
    }
    std::vector<Write> writes() const {
        const std::lock_guard lock(mutex_);
        return writes_;
    }
    std::vector<Call> calls() const {
        const std::lock_guard lock(mutex_);
        return calls_;
    }
    /// When `revision` or a later one was first written to any connection.
    std::optional<Clock::time_point> first_written(int revision) const {
        const std::lock_guard lock(mutex_);
        const auto write =
            std::ranges::find_if(writes_, [&](const Write &w) { return w.revision >= revision; });
        return write == writes_.end() ? std::nullopt : std::optional(write->at);
    }
    Clock::time_point await_written(int revision) const {
        std::unique_lock lock(mutex_);
        const auto is_written = [&] {
            return std::ranges::any_of(writes_, [&](const Write &w) { return w.revision >= revision; });
        };
        assert(changed_.wait_for(lock, 15s, is_written));
        lock.unlock();
        return *first_written(revision);
    }
    /// Waits until a call on a connection from number `first` on has arrived. Returns the first such call.
    Call await_call(int first) const {
        std::unique_lock lock(mutex_);
        const auto find = [&] {
            return std::ranges::find_if(calls_, [&](const Call &call) { return call.connection >= first; });
        };
        assert(changed_.wait_for(lock, 15s, [&] { return find() != calls_.end(); }));
        return *find();
    }

private:
    static constexpr int kNoConnection = 1 << 30;
    static constexpr int kNoList = -1;

    static std::string encode(int revision, const std::vector<ListedNode> &nodes, bool complete) {
        std::string entries;
        for (const ListedNode &node : nodes)
            entries += (entries.empty() ? "" : ",") + node.entry();
        return fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", revision, complete, entries);
    }
    int revision() const { return static_cast<int>(changes_.size()); }
    void set(int &field, int value) {
        const std::lock_guard lock(mutex_);
        field = value;
        changed_.notify_all();
    }
    bool is_answered(int connection) const {
        return connection < first_unanswered_ && connection > last_unanswered_;
    }
    /// The answer to a call for what is new since a revision; needs mutex_.
    std::string answer(int since) const {
        if (since >= 1) {
            std::vector<ListedNode> entries;
            for (int n = since; n < revision(); ++n)
                entries.insert(entries.end(), changes_[n].begin(), changes_[n].end());
            return encode(revision(), entries, false);
        }
        std::vector<ListedNode> listed = nodes_;
        std::erase_if(listed, [](const ListedNode &node) { return node.phase == "removed"; });
        return encode(revision(), listed, true);
    }
    void serve(Socket &s) {
        const int connection = ++last_connection_;
        while (const auto head = next_head(s)) {
            const int since = number_after(*head, "since=", -1);
            const auto deadline = Clock::now() + number_after(*head, "timeout_ms=", 0) * 1ms;
            record_call({connection, since, Clock::now()});
            if (failures_ > 0) {
                --failures_;
                if (!fails_with_status_)
                    return;
                s.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            std::unique_lock lock(mutex_);
            const auto can_answer = [&] {
                return stopping_ || closed_ ||
                       (is_answered(connection) && (revision() > since || Clock::now() >= deadline));
            };
            while (!can_answer())
                changed_.wait_for(lock, 5ms);
            lock.unlock();
            std::this_thread::sleep_for(delay_ms_.load() * 1ms);
            lock.lock();
            if (stopping_ || closed_)
                return;
            write(s, connection, answer(since));
        }
    }
    void record_call(Call call) {
        const std::lock_guard lock(mutex_);
        calls_.push_back(call);
        changed_.notify_all();
    }
    /// Needs mutex_.
    void write(Socket &s, int connection, const std::string &body) {
        const bool open = s.silent_for(0);
        if (open && s.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)))
            writes_.push_back({connection, revision(), Clock::now()});
        changed_.notify_all();
    }

    const std::string known_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<ListedNode> nodes_;
    std::vector<std::vector<ListedNode>>
        changes_; ///< change N led to revision N + 1; the first place is not used
    std::vector<Write> writes_;
    std::vector<Call> calls_;
    int first_unanswered_ = kNoConnection;
    int last_unanswered_ = 0;
    std::atomic<int> delay_ms_ = 0;
    std::atomic<int> failures_ = 0;
    std::atomic<bool> fails_with_status_ = true;
    std::atomic<int> last_connection_ = 0;
    std::atomic<bool> closed_ = false;
    std::atomic<bool> stopping_ = false;
    Server server_;
};

} // namespace test
