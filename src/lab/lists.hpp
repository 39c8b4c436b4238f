// Discovery as an experiment's brokers meet it: one service that all ask, or an agent beside each broker to
// which changes are pushed late, as the brokers' settings say.
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

boost::asio::awaitable<void> rest(boost::asio::io_context &io, Micros length); // us

class Lists {
public:
    using tcp = boost::asio::ip::tcp;
    struct Model {
        bool pushed = false;
        Micros least = 0, most = 0; // until a change reaches an agent, drawn for each
    };
    Lists(boost::asio::io_context &io, core::Deadlines &deadlines, Model model, std::size_t brokers,
          std::uint64_t seed);
    int port(std::size_t broker) const;                             // where that broker asks
    using Members = std::function<std::string(std::size_t broker)>; // as that broker is told of them
    void start(const Members &members);                             // serves, with what all know at first
    // A new version. `told`, where given, is called once every agent has it.
    void change(const Members &members, std::function<void()> told = nullptr);
    // Calls are taken and none is answered; what would be pushed comes afterwards.
    void silence(Micros length);

private:
    struct Agent {
        tcp::acceptor acceptor;
        int port = 0, version = 1;
        std::string members;
    };
    boost::asio::awaitable<void> accept(Agent &agent);
    boost::asio::awaitable<void> serve(Agent &agent, std::shared_ptr<tcp::socket> socket);
    boost::asio::awaitable<void> push(Agent &agent, Micros at, int version, std::string members,
                                      std::function<void()> told);

    boost::asio::io_context &io_;
    core::Deadlines &deadlines_;
    Model model_;
    std::vector<std::unique_ptr<Agent>>
        agents_; // by broker; where lists are asked for, all as late as each other
    std::mt19937_64 random_;
    int version_ = 1;
    Micros silent_until_ = 0;
};

} // namespace marblewood::lab
