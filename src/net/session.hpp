// One client's connection, whatever it speaks: reads, writes, knows when to end. A front derives from it and
// gives it its protocol.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory_budget.hpp"
#include "net/clients.hpp"

#include <boost/asio/cancellation_signal.hpp>

namespace marblewood::net {

class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Client &client, core::Deadlines &deadlines, core::MemoryBudget &memory)
        : client_(client), deadlines_(deadlines), wake_(client.socket.get_executor()),
          flow_(client.socket.get_executor()), share_(memory), memory_(memory) {}
    virtual ~Session() = default;
    asio::awaitable<void> run(); // until the connection has ended

protected:
    virtual void take_all() = 0;                        // takes what is whole out of `in_`
    virtual void left() = 0;                            // the client has gone: nothing more can be answered
    virtual bool begun() const { return !in_.empty(); } // part of a message has come
    virtual std::size_t held() const { return in_.size(); }
    virtual Micros may_idle() const = 0; // us for which a client that has asked may be silent; 0: for good
    virtual void spoilt(const char *why) = 0; // what has come can't be finished: tells the client
    // What has come of the next message, for another process to go on with; nothing where it can't.
    virtual std::optional<std::string> unfinished() const { return std::nullopt; }
    virtual const char *front() const = 0; // its name between processes
    virtual void answer_now() = 0; // has all that is open answered now, but for a value that is passed on
    virtual bool passing_on() const { return false; } // a long value is on its way to the client
    // Whether its end takes nothing else along; if not, it waits for `client_.notify`.
    virtual bool may_end() const { return true; }

    // Queues bytes; with them `answers` of what is owed are paid.
    void send(std::string_view bytes, std::size_t answers);
    bool gone() const { return gone_; }
    asio::awaitable<void> flushed(); // until all that was queued is written, or the client has gone

    Client &client_;
    core::Deadlines &deadlines_;
    std::string in_;     // read, not yet taken
    Micros since_ = 0;   // when its first byte came
    bool over_ = false;  // nothing more is read: all that is owed is paid, then the connection ends
    bool wrong_ = false; // it sent what is of no use: it is read on after a rest

private:
    void handle_received(bool fresh);
    bool crowded() const; // as much is owed as one connection may ask for at once
    bool hand_over();
    void arm_patience();
    bool end_between_requests();
    bool shut_down_if_quiet();
    Micros awaits_until() const;
    void arm_closing_timers();
    void closing_due();
    void stop_reading(CloseReason reason, const char *why);
    void client_gone();
    bool hung_up() const; // it has, behind whatever has come and is not read yet
    asio::awaitable<boost::system::error_code>
    readable(); // operation_aborted where it was interrupted instead
    asio::awaitable<void> rest(Micros length, bool until_room = false); // or until no longer crowded
    void interrupt_read() {
        read_interrupted_.emit(asio::cancellation_type::all);
    }             // ends readable(), and nothing else
    void wake() { // at most one call waits to be heard
        if (wake_.empty())
            wake_.put(true);
        if (over_ || unread_)
            interrupt_read();
    }
    asio::awaitable<void> write(std::shared_ptr<Session> self);
    asio::awaitable<void> end();

    core::Mailbox<bool> wake_, flow_;
    std::string out_;
    std::size_t out_answers_ = 0;
    bool writing_ = false, gone_ = false;
    bool unwritten_ = false; // what write() took out of out_ is not written whole yet
    bool parsing_ = false;   // what was read is being taken
    bool unread_ = false;    // in_ holds what came while this connection was crowded
    bool heard_ = false;     // the client has sent something
    bool newer_ = false;     // bytes came after the connection was told to end
    bool shut_down_ = false; // the client has been told the end: nothing more can be answered
    asio::cancellation_signal read_interrupted_;
    core::MemoryBudget::Reservation share_;
    core::MemoryBudget &memory_;
    core::Deadlines::Entry patience_, closing_, awaited_, flush_;
};

} // namespace marblewood::net
