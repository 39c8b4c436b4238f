// Asks discovery for the list of nodes: whole, or a watch on changes that is renewed without a gap.
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

class Discovery {
public:
    using Told = std::function<void(const Reading &)>; // an update, or Kind::Failed

    Discovery(asio::io_context &io, core::Deadlines &deadlines, tcp::endpoint at, std::string host,
              std::int64_t revision, config::Names &nodes, config::Names &zones, Told told);
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
    void failed();

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    tcp::endpoint at_;
    std::string host_;
    std::int64_t revision_;
    config::Names &nodes_, &zones_;
    Told told_;
    bool wanted_ = false, watching_ = false, whole_ = false; // whole_: the next call asks for the whole list
    int moves_ = 0;
    std::uint64_t calls_ = 0;
    tcp::socket *called_ = nullptr; // the watch's connection
};

} // namespace marblewood::net::discovery
