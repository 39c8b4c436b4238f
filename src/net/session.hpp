// One client's connection, whatever it speaks: reads, writes, knows when to end. A front derives from it and
// gives it its protocol.
#pragma once

#include "core/mailbox.hpp"
#include "net/clients.hpp"

namespace marblewood::net {

class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Client &client, core::Deadlines &deadlines)
        : client_(client), deadlines_(deadlines), wake_(client.socket.get_executor()) {}
    virtual ~Session() = default;
    asio::awaitable<void> run(); // until the connection has ended

protected:
    virtual void take_all() = 0; // takes what is whole out of `in_`
    virtual void left() = 0;     // the client has gone: nothing more can be answered

    // Queues bytes; with them `answers` of what is owed are paid.
    void send(std::string bytes, std::size_t answers);
    bool gone() const { return gone_; }

    Client &client_;
    core::Deadlines &deadlines_;
    std::string in_;    // read, not yet taken
    Micros since_ = 0;  // when its first byte came
    bool over_ = false; // nothing more is read: all that is owed is paid, then the connection ends

private:
    void received(std::size_t got);
    void took();
    asio::awaitable<void> write(std::shared_ptr<Session> self);
    asio::awaitable<void> end();

    core::Mailbox<bool> wake_;
    std::string out_;
    std::size_t out_answers_ = 0;
    bool writing_ = false, gone_ = false;
    char chunk_[16384];
};

} // namespace marblewood::net
