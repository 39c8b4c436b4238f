// Watches discovery's list of nodes, from the start of the process to its end. It alone knows how fresh the
// list is: it renews the watch, notices one that has fallen silent, and dials anew after a failure.
//
// Bound promised. While discovery can be reached and answers in time, a change that it has is told to this
// process within 6 s, whatever became of the calls before: a watch waits kWatch at the most and is given up
// kAnswer later, and the pauses between failed calls are bounded (kLongestPause) and jittered.
//
// An answer is taken whole or not at all. One that is malformed, cut short, without end, older than what is
// known, or a part where the whole was asked for changes nothing, and is asked for again.
#pragma once

#include "config/decode.hpp"
#include "core/backoff.hpp"
#include "core/mailbox.hpp"
#include "net/http.hpp"

#include <functional>

namespace marblewood::net::discovery {

// One answer of discovery, read but not yet taken in.
struct Reading {
    std::int64_t revision = 0;
    ListUpdate update;
    std::vector<std::pair<NodeId, std::string>> addresses;
};
// Decodes an answer; throws config::Error. Also for `known` in the configuration.
Reading read(const Json::Value &answer, config::Names &nodes, config::Names &zones);

class Discovery {
public:
    using Told = std::function<void(const Reading &)>;

    // Where the settings say that lists are asked for, discovery is one service for all brokers and each call
    // costs it; where they are pushed, the address belongs to an agent on this machine, which answers at no
    // cost, and whatever the agent has counts as told.
    Discovery(asio::io_context &io, core::Deadlines &deadlines, const Settings &settings, tcp::endpoint at,
              std::string host, std::int64_t revision, config::Names &nodes, config::Names &zones, Told told);
    // Watches at another address from now on. Its revisions may be counted otherwise: its whole list comes
    // first. What the discovery of before still says is not heard.
    void move(tcp::endpoint at, std::string host);
    std::uint64_t calls() const { return calls_; } // written to discovery since the start, watches included

private:
    asio::awaitable<void> watch();
    asio::awaitable<std::optional<Reading>> call(std::string path, Micros wait);
    bool takes(const Reading &reading);
    asio::awaitable<void> pause();

    core::Deadlines &deadlines_;
    tcp::endpoint at_;
    std::string host_;
    config::Names &nodes_, &zones_;
    Told told_;
    tcp::socket socket_;
    core::Mailbox<bool> woken_;         // out of a pause: it is over, or discovery has moved
    std::int64_t revision_;             // of what is known
    bool whole_ = false;                // the next call asks for the whole list
    std::optional<std::int64_t> lower_; // of the last answer, where that was older than what is known
    int moves_ = 0;
    std::uint64_t calls_ = 0;
    core::Backoff backoff_;
};

} // namespace marblewood::net::discovery
