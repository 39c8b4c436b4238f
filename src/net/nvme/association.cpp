#include "net/nvme/association.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace marblewood::net::nvme {
namespace {

// An association is closed if an aborted command is not completed within this time.
constexpr Micros kAbortTimeout = 2'000'000;
// The time between keep-alive commands, and the timeout of each.
constexpr Micros kKeepAliveInterval = 5'000'000;
// How long a node may send nothing within a PDU before the connection is closed.
constexpr Micros kSilenceTimeout = 100'000;
// The data of one H2CData PDU. It is small, so that a cancelled write stops before all of its data is sent.
constexpr std::size_t kDataPduBytes = std::size_t{16} * 1024;

// The identifier of the command that a C2HData or Response PDU answers.
std::uint16_t command_id(const Pdu &pdu) {
    return pdu.type == Type::Response ? Completion::read(pdu).cid : get<std::uint16_t>(pdu.head, 8);
}

// Whether a PDU answers a command that set a queue up.
bool answers_setup_command(const Pdu &pdu) {
    const bool answer = pdu.type == Type::Response || pdu.type == Type::C2HData;
    return answer && command_id(pdu) >= kFirstSetupCommandId;
}

} // namespace

std::uint16_t Queue::next_setup_command_id() {
    const std::uint16_t cid = next_setup_command_id_;
    next_setup_command_id_ =
        cid == kLastSetupCommandId ? kFirstSetupCommandId : static_cast<std::uint16_t>(cid + 1);
    return cid;
}

CommandPtr Queue::add_command() {
    if (pending.size() >= kEntries - 1)
        return nullptr;
    do
        last_command_id_ = static_cast<std::uint16_t>((last_command_id_ + 1) % kFirstSetupCommandId);
    while (pending.contains(last_command_id_));
    auto command = std::make_shared<PendingCommand>(last_command_id_, memory_);
    pending.emplace(command->cid, command);
    return command;
}

bool Queue::has(const CommandPtr &command) const {
    const auto found = pending.find(command->cid);
    return found != pending.end() && found->second == command;
}

void Queue::remove(const CommandPtr &command) {
    remove_unwritten(command);
    if (has(command))
        pending.erase(command->cid);
}

void Queue::remove_unwritten(const CommandPtr &command) {
    std::erase_if(outgoing_pdus, [&](const OutgoingPdu &pdu) { return pdu.command == command; });
}

void Association::notify_when_ready(EventMailbox &mailbox) {
    if (admin_ && ready_)
        return mailbox.put(AssociationReady{});
    waiting_mailboxes.insert(&mailbox);
    if (!connecting_)
        asio::co_spawn(executor_, establish(shared_from_this()), asio::detached);
    connecting_ = true;
}

CommandPtr Association::issue(EventMailbox &mailbox, Command command, std::string body,
                              std::function<bool()> may_write, std::function<void()> on_written) {
    CommandPtr pending = io_->add_command();
    if (!pending)
        return nullptr;
    set(command.bytes, 2, pending->cid);
    pending->mailbox = &mailbox;
    // A Read's block, or a Write's data, once more in the PDUs that wait to be written.
    pending->reservation.resize(body.empty() ? block_bytes_ + kMetadataBytes : 2 * body.size());
    pending->body = std::move(body);
    pending->on_written = std::move(on_written);
    // A Write cannot run before its data is sent.
    const bool completes_command = pending->body.empty();
    enqueue(io_, {command.capsule(), pending, completes_command, std::move(may_write)});
    return pending;
}

void Association::abandon(const CommandPtr &command) {
    if (!io_ || !io_->has(command))
        return;
    if (command->progress == WriteProgress::NotStarted)
        return io_->remove(command);
    io_->remove_unwritten(command);
    command->mailbox = nullptr;
    command->data_read.clear();
    command->abort_timer =
        deadlines_.in(kAbortTimeout, [this] { close_connections("aborted command not completed in time"); });
    Command abort = Command::make(op::kAbort, 0);
    abort.set_dword(10, static_cast<std::uint32_t>(1 | command->cid << 16));
    send_admin_command(std::move(abort), nullptr);
}

bool Association::send_admin_command(Command command, EventMailbox *mailbox) {
    const CommandPtr pending = ready_ ? admin_->add_command() : nullptr;
    if (!pending)
        return false;
    set(command.bytes, 2, pending->cid);
    pending->mailbox = mailbox;
    pending->issued_at = deadlines_.clock.now();
    enqueue(admin_, {command.capsule(), pending, true, {}});
    return true;
}

void Association::forget(EventMailbox &mailbox) {
    waiting_mailboxes.erase(&mailbox);
    for (const auto &queue : {admin_, io_}) {
        if (!queue)
            continue;
        for (const auto &[cid, command] : queue->pending)
            if (command->mailbox == &mailbox)
                command->mailbox = nullptr;
    }
}

void Association::close_connections(const char *reason) {
    if (!admin_)
        return;
    if (reason)
        core::log("nvme node {}:{}: {}", address.address().to_string(), address.port(), reason);
    ready_ = false;
    keep_alive_.reset();
    std::vector<EventMailbox *> notified;
    boost::system::error_code ignored;
    for (const auto &queue : {admin_, io_}) {
        if (!queue)
            continue;
        queue->outgoing_pdus.clear();
        queue->socket.close(ignored);
        for (const auto &[cid, command] : queue->pending) {
            command->abort_timer.reset();
            if (command->mailbox)
                notified.push_back(command->mailbox);
        }
    }
    admin_ = io_ = nullptr;
    notify_waiting(AssociationLost{});
    for (EventMailbox *mailbox : notified)
        mailbox->put(AssociationLost{});
}

void Association::enqueue(const QueuePtr &queue, Queue::OutgoingPdu outgoing_pdu) {
    queue->outgoing_pdus.push_back(std::move(outgoing_pdu));
    if (!std::exchange(queue->writing, true))
        asio::co_spawn(executor_, write(shared_from_this(), queue), asio::detached);
}

asio::awaitable<void> Association::write(std::shared_ptr<Association> self, QueuePtr queue) {
    while (!queue->outgoing_pdus.empty()) {
        const Queue::OutgoingPdu outgoing_pdu = std::move(queue->outgoing_pdus.front());
        queue->outgoing_pdus.pop_front();
        PendingCommand &command = *outgoing_pdu.command;
        // Nothing is written if the attempt was stopped, is late, or the node is draining.
        if (outgoing_pdu.may_write && !outgoing_pdu.may_write()) {
            queue->remove(outgoing_pdu.command);
            if (command.mailbox)
                command.mailbox->put(WriteDeclined{});
            continue;
        }
        const bool is_last = outgoing_pdu.completes_command;
        command.advance(is_last ? WriteProgress::LastPduStarted : WriteProgress::Started);
        boost::system::error_code error;
        const std::size_t written = co_await write_without_yield(queue->socket, outgoing_pdu.bytes, error);
        if (is_last && written == outgoing_pdu.bytes.size()) {
            command.advance(WriteProgress::Complete);
            if (command.on_written)
                command.on_written();
        }
        co_await asio::post(queue->socket.get_executor(), asio::use_awaitable); // lets other connections run
        if (error) {
            if (queue == self->admin_ || queue == self->io_)
                self->close_connections(error.message().c_str());
            break;
        }
    }
    queue->writing = false;
}

asio::awaitable<std::optional<Pdu>> Association::receive(QueuePtr queue) {
    // Closes the connection if the node sends nothing for kSilenceTimeout while a PDU is incomplete,
    // because the incomplete PDU would block all PDUs after it.
    core::Deadlines::Entry timer;
    for (;;) {
        if (auto pdu = take(queue->received))
            co_return pdu;
        if (!queue->received.empty())
            timer = deadlines_.in(kSilenceTimeout, [queue] {
                boost::system::error_code ignored;
                if (queue->socket.available(ignored) == 0)
                    queue->socket.close(ignored);
            });
        if (co_await read_more(queue->socket, queue->received))
            co_return std::nullopt;
    }
}

asio::awaitable<std::optional<Completion>> Association::execute(QueuePtr queue, Command command,
                                                                std::string body, std::string *read) {
    const std::uint16_t cid = queue->next_setup_command_id();
    set(command.bytes, 2, cid);
    const std::string bytes = command.capsule(body);
    boost::system::error_code error;
    co_await write_all(queue->socket, bytes, error);
    while (!error) {
        const std::optional<Pdu> pdu = co_await receive(queue);
        if (!pdu)
            break;
        if (answers_setup_command(*pdu) && command_id(*pdu) != cid)
            continue; // a second copy of an earlier answer
        if (pdu->type == Type::C2HData && read)
            *read += pdu->data;
        else if (pdu->type == Type::Response)
            co_return Completion::read(*pdu);
        else
            break;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<std::uint16_t>> Association::connect(QueuePtr queue, std::uint16_t number,
                                                                   std::uint16_t controller, Micros until) {
    const boost::system::error_code error = co_await dial(queue->socket, address, until, deadlines_);
    if (error)
        co_return std::nullopt;
    const std::string request_pdu = ic_req();
    boost::system::error_code lost;
    co_await write_all(queue->socket, request_pdu, lost);
    const std::optional<Pdu> answer = co_await receive(queue);
    if (!answer || answer->type != Type::ICResp)
        co_return std::nullopt;
    max_h2c_data_bytes_ = std::max<std::uint32_t>(get<std::uint32_t>(answer->head, 12), 4096);
    Command command = Command::make(op::kFabrics, 0);
    set(command.bytes, 4, op::kConnect);
    command.describe_data(1024, true);
    command.set_dword(10, static_cast<std::uint32_t>(number) << 16);
    command.set_dword(11, static_cast<std::uint32_t>(Queue::kEntries - 1));
    command.set_dword(12, number == 0 ? static_cast<std::uint32_t>(2 * kKeepAliveInterval / 1000) : 0u);
    std::string data(1024, '\0');
    set(data, 16, controller);
    data.replace(256, mapping_.subsystem.size(), mapping_.subsystem);
    data.replace(512, 33, "nqn.2026-12.net.hanbit:marblewood");
    const auto done = co_await execute(queue, command, data, nullptr);
    if (!done || !done->status.ok())
        co_return std::nullopt;
    co_return static_cast<std::uint16_t>(done->result);
}

asio::awaitable<bool> Association::connect_queues(Micros until) {
    const QueuePtr admin = admin_, io = io_;
    const auto controller = co_await connect(admin, 0, 0xffff, until);
    if (!controller)
        co_return false;
    Command enable = Command::make(op::kFabrics, 0);
    set(enable.bytes, 4, op::kPropertySet);
    enable.set_dword(11, property::kConfig);
    enable.set_dword(12, 0x00460001u); // queue entry sizes; enabled
    auto done = co_await execute(admin, enable, {}, nullptr);
    if (!done || !done->status.ok())
        co_return false;
    Command get_status = Command::make(op::kFabrics, 0);
    set(get_status.bytes, 4, op::kPropertyGet);
    get_status.set_dword(11, property::kStatus);
    do {
        done = co_await execute(admin, get_status, {}, nullptr);
        if (!done || !done->status.ok() || (done->result & 2))
            co_return false;
    } while (!(done->result & 1));
    std::string page;
    Command identify = Command::make(op::kIdentify, 0, mapping_.nsid);
    identify.describe_data(4096, false);
    done = co_await execute(admin, identify, {}, &page);
    if (!done || !done->status.ok() || page.size() != 4096)
        co_return false;
    const auto format = get<std::uint8_t>(page, 26);
    const std::size_t at = 128 + 4 * (format & 0xf);
    if (get<std::uint16_t>(page, at) != kMetadataBytes || !(format & 0x10) ||
        get<std::uint8_t>(page, at + 2) > 16 || 1u << get<std::uint8_t>(page, at + 2) != block_bytes_) {
        core::log("nvme node {}: its namespace is not of {}-byte blocks with 8 bytes of extended metadata",
                  address.address().to_string(), block_bytes_);
        co_return false;
    }
    const auto io_controller = co_await connect(io, 1, *controller, until);
    co_return io_controller.has_value();
}

asio::awaitable<void> Association::establish(std::shared_ptr<Association> self) {
    admin_ = std::make_shared<Queue>(executor_, memory_);
    io_ = std::make_shared<Queue>(executor_, memory_);
    admin_->lease = budget_.node();
    io_->lease = budget_.node();
    bool connected = false;
    {
        const Micros until = deadlines_.clock.now() + connect_timeout_;
        const auto timer =
            deadlines_.at(until, [this] { close_connections("association not established in time"); });
        try {
            connected = co_await connect_queues(until);
        } catch (const Malformed &error) {
            core::log("nvme node: malformed PDU: {}", error.what());
        }
    }
    connecting_ = false;
    if (!connected || !admin_) {
        close_connections("not connected");
        notify_waiting(AssociationLost{}); // those that came after the connections had been closed
        co_return;
    }
    ready_ = true;
    asio::co_spawn(executor_, receive_pdus(self, admin_), asio::detached);
    asio::co_spawn(executor_, receive_pdus(self, io_), asio::detached);
    keep_alive();
    notify_waiting(AssociationReady{});
}

void Association::notify_waiting(const Event &event) {
    const std::set<EventMailbox *> notified = std::exchange(waiting_mailboxes, {});
    for (EventMailbox *mailbox : notified)
        mailbox->put(event);
}

void Association::keep_alive() {
    keep_alive_ = deadlines_.in(kKeepAliveInterval, [this] {
        if (!admin_)
            return;
        if (has_overdue_admin_command())
            return close_connections("keep-alive timed out");
        send_admin_command(Command::make(op::kKeepAlive, 0), nullptr);
        keep_alive();
    });
}

bool Association::has_overdue_admin_command() const {
    const Micros overdue = deadlines_.clock.now() - kKeepAliveInterval;
    return std::ranges::any_of(admin_->pending,
                               [overdue](const auto &entry) { return entry.second->issued_at <= overdue; });
}

asio::awaitable<void> Association::receive_pdus([[maybe_unused]] std::shared_ptr<Association> self,
                                                QueuePtr queue) {
    const char *reason = "connection lost";
    std::string termination;
    try {
        for (;;) {
            const std::optional<Pdu> pdu = co_await receive(queue);
            if (!pdu)
                break;
            if (pdu->type == Type::C2HTermReq) {
                reason = "node terminated the connection";
                break;
            }
            handle_pdu(queue, *pdu);
        }
    } catch (const Malformed &error) {
        reason = "malformed PDU";
        termination = term_req(Type::H2CTermReq, error);
    }
    if (!termination.empty()) { // tells the node the reason, if it still reads
        boost::system::error_code ignored;
        queue->socket.non_blocking(true, ignored);
        queue->socket.write_some(asio::buffer(termination), ignored);
    }
    if (queue == admin_ || queue == io_)
        close_connections(reason);
}

void Association::handle_pdu(const QueuePtr &queue, const Pdu &pdu) {
    const auto malformed = [&](Fatal fatal, const char *what) { return Malformed(fatal, what, pdu.head); };
    if (answers_setup_command(pdu))
        return; // a second copy
    if (pdu.type == Type::Response)
        return handle_completion(queue, Completion::read(pdu));
    if (queue != io_ || (pdu.type != Type::C2HData && pdu.type != Type::R2T))
        throw malformed(Fatal::Sequence, "unexpected PDU");
    const auto it = queue->pending.find(get<std::uint16_t>(pdu.head, 8));
    if (it == queue->pending.end())
        throw malformed(Fatal::HeaderField, "unknown command identifier");
    const CommandPtr pending_command = it->second;
    const auto offset = get<std::uint32_t>(pdu.head, 12), length = get<std::uint32_t>(pdu.head, 16);
    const std::size_t block = block_bytes_ + kMetadataBytes;
    if (pdu.type == Type::C2HData) {
        if (length != pdu.data.size() || offset > block || length > block - offset)
            throw malformed(Fatal::OutOfRange, "data out of range");
        if (pending_command->mailbox) { // data for an abandoned command is discarded
            if (offset != pending_command->data_read.size())
                throw malformed(Fatal::OutOfRange, "data out of order");
            pending_command->data_read += pdu.data;
        }
        if (pdu.flags & kSuccess) {
            Completion done;
            done.cid = it->first;
            handle_completion(queue, done);
        }
        return;
    }
    if (!pending_command->mailbox)
        return; // the command was aborted and is completed without its data
    if (offset > pending_command->body.size() || length > pending_command->body.size() - offset ||
        length == 0)
        throw malformed(Fatal::OutOfRange, "R2T out of range");
    const auto tag = get<std::uint16_t>(pdu.head, 10);
    const std::size_t max_part_bytes = std::min<std::size_t>(kDataPduBytes, max_h2c_data_bytes_),
                      end = offset + length;
    for (std::size_t at = offset; at < end; at += max_part_bytes) {
        const std::size_t size = std::min(max_part_bytes, end - at);
        const std::string_view bytes = std::string_view(pending_command->body).substr(at, size);
        enqueue(queue,
                {data(Type::H2CData, it->first, tag, static_cast<std::uint32_t>(at), bytes, at + size == end),
                 pending_command,
                 at + size == pending_command->body.size(),
                 {}});
    }
}

void Association::handle_completion(const QueuePtr &queue, const Completion &done) {
    const auto it = queue->pending.find(done.cid);
    if (it == queue->pending.end())
        throw Malformed(Fatal::HeaderField, "completion of an unknown command");
    const CommandPtr command = it->second;
    queue->remove(command);
    command->abort_timer.reset();
    if (command->mailbox)
        command->mailbox->put(CommandCompleted{done.status, std::move(command->data_read)});
}

} // namespace marblewood::net::nvme
