/// \file
/// The connections to one NVMe/TCP node: an admin queue and an I/O queue, which form an association.
#pragma once

#include "core/mailbox.hpp"
#include "core/memory_budget.hpp"
#include "net/nvme/mapping.hpp"
#include "net/nvme/pdu.hpp"
#include "net/sockets.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace marblewood::net::nvme {

/// The bytes of metadata behind each block of a node's namespace.
inline constexpr std::size_t kMetadataBytes = 8;

/// What an attempt or probe waits for. Each event says all there is to know: when it is taken from the
/// mailbox, its queue may be gone, or another may be in its place.
struct AssociationReady {};
struct AssociationLost {};
struct Stopped {};
/// The command was not written, as its attempt no longer allowed it.
struct WriteDeclined {};
/// The node has completed the command.
struct CommandCompleted {
    Status16 status;
    std::string data; ///< all that it sent for a Read
};
using Event = std::variant<AssociationReady, AssociationLost, Stopped, WriteDeclined, CommandCompleted>;
using EventMailbox = core::Mailbox<Event>;

/// How much of a command, and of a Write's data, has been handed to the system. A PDU whose writing has
/// started goes out to its end, even if the command is abandoned, unless the association is closed before.
enum class WriteProgress { NotStarted, Started, LastPduStarted, Complete };

/// A command without a completion. It is shared by its queue and the attempt that waits for it, so that what
/// is known of it outlives the queue. Its identifier is not used again before the completion.
struct PendingCommand {
    PendingCommand(std::uint16_t identifier, core::MemoryBudget &memory)
        : cid(identifier), reservation(memory) {}

    const std::uint16_t cid;
    EventMailbox *mailbox = nullptr;             ///< null: abandoned
    std::string body;                            ///< data of a Write
    std::string data_read;                       ///< data received for a Read
    core::MemoryBudget::Reservation reservation; ///< of its data, before any of that arrives
    std::function<void()> on_written;            ///< called once all of it is written
    WriteProgress progress = WriteProgress::NotStarted;
    core::Deadlines::Entry abort_timer; ///< runs once the command is abandoned
    Micros issued_at = 0;               ///< of an admin command

    /// A node may ask for a Write's data in any order, and more than once.
    void advance(WriteProgress reached) { progress = std::max(progress, reached); }
    /// Whether the node can run it, or have run it, although it is abandoned.
    bool can_run_if_abandoned() const { return progress >= WriteProgress::LastPduStarted; }
    /// Whether the node can have run it, now that the association is closed.
    bool can_have_run() const { return progress == WriteProgress::Complete; }
};
using CommandPtr = std::shared_ptr<PendingCommand>;

/// The identifiers of the commands that set a queue up. All others are below.
inline constexpr std::uint16_t kFirstSetupCommandId = 0xfff0;
inline constexpr std::uint16_t kLastSetupCommandId = 0xfffe;

/// The connection of one queue.
class Queue {
public:
    static constexpr std::uint16_t kEntries = 128;
    /// An encoded PDU that waits to be written.
    struct OutgoingPdu {
        std::string bytes;
        CommandPtr command;
        bool completes_command;          ///< the command is complete with this PDU
        std::function<bool()> may_write; ///< called just before the PDU is written; false: it must not be
    };

    Queue(const asio::any_io_executor &executor, core::MemoryBudget &memory)
        : socket(executor), memory_(memory) {}

    /// Adds a command with an identifier that no other one has, not even an abandoned one. Null if the queue
    /// is full.
    CommandPtr add_command();
    /// The identifier of the next command that sets the queue up, one after the other, so that an answer that
    /// comes twice is not taken for the next one's.
    std::uint16_t next_setup_command_id();
    /// Whether the command waits for its completion on this queue.
    bool has(const CommandPtr &command) const;
    /// Removes the command, and what of it is not being written yet.
    void remove(const CommandPtr &command);
    /// Removes what of the command is not being written yet.
    void remove_unwritten(const CommandPtr &command);

    tcp::socket socket;
    SocketBudget::Lease lease;
    std::string received;
    std::map<std::uint16_t, CommandPtr> pending;
    std::deque<OutgoingPdu> outgoing_pdus;
    bool writing = false;

private:
    core::MemoryBudget &memory_;
    std::uint16_t last_command_id_ = 0;
    std::uint16_t next_setup_command_id_ = kFirstSetupCommandId;
};

/// The two queues of one node, which are connected on demand.
class Association : public std::enable_shared_from_this<Association> {
public:
    Association(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
                SocketBudget &budget, const tcp::endpoint &at, NodeMapping mapping, std::uint32_t block_bytes,
                Micros connect_timeout)
        : address(at), mapping_(std::move(mapping)), executor_(std::move(executor)), deadlines_(deadlines),
          memory_(memory), budget_(budget), block_bytes_(block_bytes), connect_timeout_(connect_timeout) {}

    /// Puts AssociationReady into the mailbox once the association is established, or AssociationLost if that
    /// fails.
    void notify_when_ready(EventMailbox &mailbox);

    /// Whether commands can be issued.
    bool is_ready() const { return ready_; }
    /// Queues an I/O command. Null if the queue is full. The association must be ready.
    CommandPtr issue(EventMailbox &mailbox, Command command, std::string body,
                     std::function<bool()> may_write, std::function<void()> on_written);

    /// Abandons a command whose attempt has ended. If any part of it was written, it is aborted; it then
    /// keeps its identifier until the node completes it, and data received for it is discarded.
    void abandon(const CommandPtr &command);

    /// Queues an admin command. Returns false if the association is not ready or the queue is full.
    bool send_admin_command(Command command, EventMailbox *mailbox);
    /// Ensures that nothing is put into `mailbox` any more.
    void forget(EventMailbox &mailbox);
    bool idle() const { return !io_ || io_->pending.empty(); }

    /// Closes the connections and notifies all waiting attempts and probes. Logs `reason` unless it is null.
    void close_connections(const char *reason);

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

    // Notifies the attempts and probes that wait for the association.
    void notify_waiting(const Event &event);
    void keep_alive();

    // Whether the node has had kKeepAliveInterval for an admin command and has not completed it.
    bool has_overdue_admin_command() const;

    asio::awaitable<void> receive_pdus(std::shared_ptr<Association> self, QueuePtr queue);

    void handle_pdu(const QueuePtr &queue, const Pdu &pdu);

    void handle_completion(const QueuePtr &queue, const Completion &done);

    NodeMapping mapping_;
    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    core::MemoryBudget &memory_;
    SocketBudget &budget_;
    std::uint32_t block_bytes_, max_h2c_data_bytes_ = 4096;
    Micros connect_timeout_;
    QueuePtr admin_, io_;
    bool ready_ = false, connecting_ = false;
    core::Deadlines::Entry keep_alive_;
};

} // namespace marblewood::net::nvme
