/// \file
/// The emulated storage nodes of an experiment.
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

/// One storage node. Its cores process requests in order of arrival; when the queue is full, further requests
/// are rejected with BUSY.
class EmulatedNode {
public:
    /// Callbacks into the experiment, and the state that the nodes of a cell share.
    struct NodeCallbacks {
        /// Called for every request that arrives, whether or not it is rejected.
        std::function<void(const std::string &id, std::uint64_t volume, double units)> on_request;
        /// Called when a write with an idempotency key is executed.
        std::function<void(const std::string &key)> on_keyed_write;
        /// Idempotency keys known to the cell, with the time of their last execution.
        std::map<std::string, Micros> &keys;
        Micros deduplication_window = 0;
    };
    EmulatedNode(asio::io_context &io, core::Deadlines &deadlines, std::string name, const NodeModel &model,
                 Micros slow_start_window, std::uint64_t seed, NodeCallbacks callbacks);
    void start();
    void drain(bool on) { draining_ = on, drain_effective_at_ = 0, drains_ += on; }
    /// Called once all brokers have received the given drain. Requests that arrive more than `grace` later
    /// are counted by sent_after_drain().
    void drain_delivered(int drain, Micros grace) {
        if (draining_ && drain == drains_ && drain_effective_at_ == 0)
            drain_effective_at_ = deadlines_.clock.now() + grace;
    }
    /// Number of drains so far; identifies the current one.
    int drains() const { return drains_; }
    int sent_after_drain() const { return requests_after_drain_; }
    /// Sends no response and processes nothing for this time; connections stay open.
    void pause(Micros length);
    /// Multiplies the processing time of requests that arrive from now on.
    void set_slowdown(double times) { slowdown_ = times; }
    /// Closes all connections, rejects new ones for this time, then starts cold (see NodeModel).
    void restart(Micros down);

    const std::string &name() const { return name_; }
    int port() const { return port_; }
    bool draining() const { return draining_; }
    Micros up_since() const { return up_since_; }
    double slow_start_worst_ratio() const { return slow_start_.worst_ratio(); }
    /// Units received while the node was below its full speed.
    double slow_start_units() const { return slow_start_units_; }
    /// Time of the last cold start; 0 if there was none.
    Micros cold_since() const { return cold_since_; }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::list<tcp::socket>::iterator client);
    asio::awaitable<std::string> answer(const net::resp::Value &command);
    asio::awaitable<void> sleep_until(Micros when);

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    std::string name_;
    NodeModel model_;
    tcp::acceptor acceptor_;
    int port_ = 0;
    std::mt19937_64 random_;
    NodeCallbacks callbacks_;
    SlowStartMonitor slow_start_;
    std::vector<Micros> cores_; // the time at which each core becomes idle
    std::list<tcp::socket> clients_;
    int in_flight_ = 0;
    bool draining_ = false;
    Micros down_until_ = 0, paused_until_ = 0, up_since_ = 0, drain_effective_at_ = 0;
    int requests_after_drain_ = 0, drains_ = 0;
    double slowdown_ = 1, slow_start_units_ = 0;
    Micros cold_since_ = 0;
    std::uint64_t generation_ = 0;
};

} // namespace marblewood::lab
