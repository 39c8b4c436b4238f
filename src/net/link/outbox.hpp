// Holds messages back until the state that they speak of is on disk.
#pragma once

#include "net/link/link.hpp"
#include "net/link/state_file.hpp"

namespace marblewood::net::link {

class Outbox {
public:
    static constexpr std::size_t kMostWaiting = 8192;

    Outbox(Link &link, StateFile &file) : link_(link), file_(file) {
        file_.written = [this] { flush(); };
    }
    void save(std::string state) { needed_ = file_.save(std::move(state)); }
    void post(std::string to, Body body) {
        waiting_.push_back({needed_, std::move(to), std::move(body)});
        if (waiting_.size() > kMostWaiting)
            waiting_.pop_front(); // as if the network had lost it
        flush();
    }

private:
    struct Waiting {
        std::uint64_t needs;
        std::string to;
        Body body;
    };
    void flush() {
        for (; !waiting_.empty() && waiting_.front().needs <= file_.on_disk(); waiting_.pop_front())
            link_.send(waiting_.front().to, std::move(waiting_.front().body));
    }
    Link &link_;
    StateFile &file_;
    std::uint64_t needed_ = 0;
    std::deque<Waiting> waiting_;
};

} // namespace marblewood::net::link
