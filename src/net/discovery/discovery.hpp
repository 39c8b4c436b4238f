// Asks discovery for the list of nodes: whole, or a watch on changes that is renewed without a gap.
//
// Where lists are asked for, discovery is one service for all brokers, and each call costs it: the module
// says when the watch begins and, after a failure, when to ask again. Where they are pushed, the address
// belongs to an agent on this machine that answers at no cost, and whatever the agent has counts as told: the
// watch stands from the start to the end and is renewed here, the module none the wiser.
#pragma once

#include "config/decode.hpp"
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

enum class Delivery { Asked, Pushed };

class Discovery {
public:
    using Told = std::function<void(const Reading &)>; // an update, or (lists asked for) Kind::Failed

    Discovery(asio::io_context &io, core::Deadlines &deadlines, Delivery delivery, tcp::endpoint at,
              std::string host, std::int64_t revision, config::Names &nodes, config::Names &zones, Told told);
    // Of lists that are asked for; a watch on lists that are pushed always stands.
    void watch(bool on);
    void fetch();
    // Asks at another address from now on. Its versions may be counted otherwise: its whole list comes first.
    void move(tcp::endpoint at, std::string host);
    std::uint64_t calls() const { return calls_; } // written to discovery since the start, watches included

private:
    asio::awaitable<void> watching();
    asio::awaitable<void> fetching();
    // One call; empty where it failed.
    asio::awaitable<std::optional<Reading>> call(tcp::socket &socket, std::string path, Micros until);
    void begin();
    void failed();

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    const Delivery delivery_;
    tcp::endpoint at_;
    std::string host_;
    std::int64_t revision_;
    config::Names &nodes_, &zones_;
    Told told_;
    bool wanted_ = false, watching_ = false, whole_ = false; // whole_: the next call asks for the whole list
    int moves_ = 0;
    std::uint64_t calls_ = 0;
    tcp::socket *called_ = nullptr; // the watch's connection
    Micros pause_ = 0;              // until a pushed list's watch that failed begins anew
    core::Deadlines::Entry again_;
};

} // namespace marblewood::net::discovery
