// The emulated storage nodes of an experiment.
#pragma once

#include "core/deadlines.hpp"
#include "lab/oracle.hpp"
#include "net/resp/parser.hpp"
#include "net/sockets.hpp"

#include <functional>
#include <list>
#include <map>
#include <random>

namespace marblewood::lab {

namespace asio = boost::asio;
using asio::ip::tcp;

// One storage node. Its cores take requests in the order of arrival; what waits beyond its queue is turned
// away.
class EmulatedNode {
public:
    struct DispatcherCallbacks { // what nodes of an experiment share
        std::function<void(const std::string &id, std::uint64_t volume, double units)> taken;
        std::function<void(const std::string &key)> ran; // a keyed write has begun
        std::map<std::string, Micros> &keys;             // of its group: when they were first sent
        Micros window = 0;
    };
    EmulatedNode(asio::io_context &io, core::Deadlines &deadlines, std::string name, const NodeModel &model,
                 Micros slow_start_window, std::uint64_t seed, DispatcherCallbacks around);
    void start();
    void drain(bool on) { draining_ = on, drain_told_ = 0, drains_ += on; }
    // Every broker has been told of this drain. What still comes after `grace` is counted.
    void told_of_drain(int drain, Micros grace) {
        if (draining_ && drain == drains_ && drain_told_ == 0)
            drain_told_ = deadlines_.clock.now() + grace;
    }
    int drains() const { return drains_; } // so far
    int sent_after_drain() const { return after_drain_; }
    void pause(Micros length);
    void slow(double times) { slow_ = times; } // from now on
    // Ends all connections, answers nothing for this long, then is cold.
    void restart(Micros down);

    const std::string &name() const { return name_; }
    int port() const { return port_; }
    bool draining() const { return draining_; }
    Micros up_since() const { return up_since_; }
    double cold_worst() const { return cold_.worst(); }
    double slow_start_units() const { return cold_units_; } // sent here while it was cold
    Micros cold_time() const { return cold_from_; }         // when it was last cold from, 0: never

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::list<tcp::socket>::iterator client);
    asio::awaitable<std::string> answer(const net::resp::Value &command);
    asio::awaitable<void> until(Micros when);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    std::string name_;
    NodeModel model_;
    tcp::acceptor acceptor_;
    int port_ = 0;
    std::mt19937_64 random_;
    DispatcherCallbacks around_;
    ColdWatch cold_;
    std::vector<Micros> cores_; // when each is free
    std::list<tcp::socket> clients_;
    int held_ = 0;
    bool draining_ = false;
    Micros down_until_ = 0, paused_until_ = 0, up_since_ = 0, drain_told_ = 0;
    int after_drain_ = 0, drains_ = 0;
    double slow_ = 1, cold_units_ = 0;
    Micros cold_from_ = 0;
    std::uint64_t generation_ = 0;
};

} // namespace marblewood::lab
