/// \file
/// Emulated discovery for the brokers of an experiment. Depending on the brokers' settings, brokers poll one
/// central service, or an agent next to each broker receives pushed changes after a delay.
#pragma once

#include "core/deadlines.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace marblewood::lab {

boost::asio::awaitable<void> sleep_for(boost::asio::io_context &io, Micros length);

/// Serves the endpoint list over HTTP long polling, one agent (with its own port and copy of the list) per
/// broker.
class EmulatedDiscovery {
public:
    using tcp = boost::asio::ip::tcp;
    struct Model {
        bool pushed = false;
        // A pushed change reaches each agent after a random delay within these bounds.
        Micros min_delay = 0, max_delay = 0;
    };
    EmulatedDiscovery(boost::asio::io_context &io, core::Deadlines &deadlines, Model model,
                      std::size_t brokers, std::uint64_t seed);
    /// Port at which the agent of this broker listens.
    int port(std::size_t broker) const;
    /// Returns the member list as JSON with the addresses under which this broker reaches the nodes.
    using MemberList = std::function<std::string(std::size_t broker)>;
    /// Starts serving the initial lists.
    void start(const MemberList &members);
    /// Publishes a new revision of the lists. Calls `on_delivered`, if given, once every agent has received
    /// it.
    void publish(const MemberList &members, std::function<void()> on_delivered = nullptr);
    /// For this time, requests are accepted but not answered, and pushed changes are held back until it ends.
    void suspend_answers(Micros length);

private:
    struct Agent {
        tcp::acceptor acceptor;
        int port = 0, version = 1;
        std::string members;
    };
    boost::asio::awaitable<void> accept(Agent &agent);
    boost::asio::awaitable<void> serve(Agent &agent, std::shared_ptr<tcp::socket> socket);
    boost::asio::awaitable<void> push(Agent &agent, Micros at, int version, std::string members,
                                      std::function<void()> on_delivered);

    boost::asio::io_context &io_;
    core::Deadlines &deadlines_;
    Model model_;
    // By broker. When brokers poll, all agents get a change at the same time.
    std::vector<std::unique_ptr<Agent>> agents_;
    std::mt19937_64 random_;
    int version_ = 1;
    Micros suspended_until_ = 0;
};

} // namespace marblewood::lab
