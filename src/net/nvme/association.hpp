/// \file
/// The connections to one NVMe/TCP node: an admin queue and an I/O queue, which form an association.
#pragma once

#include "core/mailbox.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/pdu.hpp"
#include "net/sockets.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace marblewood::net::nvme {

/// The bytes of metadata behind each block of a node's namespace.
inline constexpr std::size_t kMetadataBytes = 8;

/// What an attempt or probe waits for: its association is ready or lost, it was stopped, or its command is
/// completed.
struct AssociationReady {};
struct AssociationLost {};
struct Stopped {};
using Event = std::variant<AssociationReady, AssociationLost, Stopped, Completion>;
using EventMailbox = core::Mailbox<Event>;

/// The connection of one queue.
class Queue {
public:
    static constexpr std::uint16_t kEntries = 128;
    /// A command without a completion. Its identifier is not used again before the completion.
    struct PendingCommand {
        EventMailbox *mailbox = nullptr;                   // null: abandoned
        std::string body, data_read;                       // data of a Write; data received for a Read
        std::function<void()> on_written;                  // called once `fully_written` is set
        bool write_started = false, fully_written = false; // the writing has started; all bytes are written
        core::Deadlines::Entry abort_timer;                // runs once the command is abandoned
        Micros issued_at = 0;                              // of an admin command
    };
    /// An encoded PDU that waits to be written.
    struct OutgoingPdu {
        std::string bytes;
        std::uint16_t cid;
        bool completes_command;          // the command is fully written once this PDU is written
        std::function<bool()> may_write; // called just before the PDU is written; false: it must not be
    };

    explicit Queue(const asio::any_io_executor &executor) : socket(executor) {}

    /// An identifier that no command uses, not even an abandoned one. Empty if the queue is full.
    std::optional<std::uint16_t> unused_command_id() {
        if (pending.size() >= kEntries - 1)
            return std::nullopt;
        do
            last_command_id_ = static_cast<std::uint16_t>((last_command_id_ + 1) % 0xfff0);
        while (pending.count(last_command_id_));
        return last_command_id_;
    }

    tcp::socket socket;
    SocketBudget::Lease lease;
    std::string received;
    std::map<std::uint16_t, PendingCommand> pending;
    std::deque<OutgoingPdu> outgoing_pdus;
    bool writing = false;

private:
    std::uint16_t last_command_id_ = 0;
};

/// The two queues of one node, which are connected on demand.
class Association : public std::enable_shared_from_this<Association> {
public:
    Association(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget,
                const tcp::endpoint &at, NodeMapping mapping, std::uint32_t block_bytes,
                Micros connect_timeout)
        : address(at), mapping_(std::move(mapping)), executor_(std::move(executor)), deadlines_(deadlines),
          budget_(budget), block_bytes_(block_bytes), connect_timeout_(connect_timeout) {}

    /// Puts AssociationReady into the mailbox once the association is established, or AssociationLost if that
    /// fails.
    void notify_when_ready(EventMailbox &mailbox);

    /// Queues an I/O command. Empty if the queue is full; else the command's identifier.
    std::optional<std::uint16_t> issue(EventMailbox &mailbox, Command command, std::string body,
                                       std::function<bool()> may_write, std::function<void()> on_written);

    /// Abandons a command whose attempt has ended. If any part of it was written, it is aborted; it then
    /// keeps its identifier until the node completes it, and data received for it is discarded.
    void abandon(std::uint16_t cid);

    bool send_admin_command(Command command, EventMailbox *mailbox);
    /// Ensures that nothing is put into `mailbox` any more.
    void forget(EventMailbox &mailbox);
    Queue::PendingCommand *find(std::uint16_t cid);
    void remove_command(std::uint16_t cid);
    bool idle() const { return !io_ || io_->pending.empty(); }

    /// Closes the connections and notifies all waiting attempts and probes. was_fully_written() still tells
    /// which commands may have run. Logs `reason` unless it is null.
    void close_connections(const char *reason);
    bool was_fully_written(std::uint16_t cid) const;

    std::uint32_t nsid() const { return mapping_.nsid; }

    const tcp::endpoint address;
    std::set<EventMailbox *> waiting_mailboxes;

private:
    using QueuePtr = std::shared_ptr<Queue>;

    void enqueue(const QueuePtr &queue, Queue::OutgoingPdu outgoing_pdu);

    asio::awaitable<void> write(std::shared_ptr<Association> self, QueuePtr queue);

    asio::awaitable<std::optional<Pdu>> receive(QueuePtr queue);

    // Sends a command while the queue is being set up, and waits for its completion.
    asio::awaitable<std::optional<Completion>> execute(QueuePtr queue, Command command, std::string body,
                                                       std::string *read);

    // Connects one queue. Returns the controller's identifier; empty on failure.
    asio::awaitable<std::optional<std::uint16_t>> connect(QueuePtr queue, std::uint16_t number,
                                                          std::uint16_t controller, Micros until);

    asio::awaitable<bool> connect_queues(Micros until);

    asio::awaitable<void> establish(std::shared_ptr<Association> self);

    void keep_alive();

    // Whether the node has had kKeepAliveInterval for an admin command and has not completed it.
    bool has_overdue_admin_command() const;

    asio::awaitable<void> receive_pdus(std::shared_ptr<Association> self, QueuePtr queue);

    void handle_pdu(const QueuePtr &queue, const Pdu &pdu);

    void handle_completion(const QueuePtr &queue, const Completion &done);

    NodeMapping mapping_;
    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    std::uint32_t block_bytes_, max_h2c_data_bytes_ = 4096;
    Micros connect_timeout_;
    QueuePtr admin_, io_, closed_io_;
    bool ready_ = false, connecting_ = false;
    core::Deadlines::Entry keep_alive_;
};

} // namespace marblewood::net::nvme
