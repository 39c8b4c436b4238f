// Replacing the process while it serves: the predecessor yields its state and descriptors, then its clients'
// connections, to a successor that is all set up.
#pragma once

#include "net/clients.hpp"
#include "net/handover/channel.hpp"

#include <json/json.h>
#include <map>

namespace marblewood::net::handover {

// What a predecessor leaves: its state, and its listening and UDP sockets by their names.
struct Inheritance {
    Json::Value state;
    std::map<std::string, Descriptor> sockets;
    Descriptor channel; // what the clients' connections come over
};
// Asks the predecessor, if there is one. Before the loop runs, so it may wait, for a bounded time. Nothing
// where nobody answers, or not in a form that can be read: the caller then starts alone.
std::optional<Inheritance> inherit(const std::string &path);

class Handover {
public:
    struct Program {
        std::function<Inheritance()> yield; // stops accepting; `channel` stays empty
        std::function<void()> pass;         // lets clients go over, by way of client()
        std::function<void()> recover;      // the successor has gone: all is ours again
        std::function<void(Passed)> adopt;  // a client of the predecessor
        std::function<void()> alone;        // the predecessor has gone
        std::function<void(const std::string &id, bool out)> cordon; // an operator's word to the successor
        std::function<void(bool on)> quiesce;                        // another
    };
    Handover(asio::io_context &io, core::Deadlines &deadlines, std::string path, Program program);

    void follow(Descriptor predecessor); // takes its clients, until it is gone
    void client(Passed passed);          // to the successor
    // An operator took a node out or put it back: a predecessor that still has requests is told, too.
    void tell_predecessor(const std::string &id, bool out);
    // Operators send clients away, or take them again: the same.
    void tell_predecessor_quiesce(bool on);
    bool yielded() const { return successor_ != nullptr; }
    bool sent() const { return !successor_ || successor_->unsent().empty(); } // nothing waits to go over

private:
    void listen();
    asio::awaitable<void> await_successor();
    asio::awaitable<bool> serve(std::shared_ptr<Channel> successor); // false: it wants nothing
    asio::awaitable<void> take_clients(std::shared_ptr<Channel> predecessor);
    void hear(const Packet &order); // of the successor

    asio::io_context &io_;
    core::Deadlines &deadlines_;
    std::string path_;
    Program program_;
    std::optional<asio::posix::stream_descriptor> listener_;
    std::shared_ptr<Channel> successor_, predecessor_;
};

} // namespace marblewood::net::handover
