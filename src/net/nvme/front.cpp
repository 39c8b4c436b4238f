#include "net/nvme/front.hpp"

#include "net/session.hpp"

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace marblewood::net::nvme {
namespace {

constexpr std::uint16_t kQueueEntries = 128;
constexpr std::uint64_t kCap = (kQueueEntries - 1) | 1ull << 16 /* contiguous queues required */ |
                               20ull << 24 /* timeout 10 s until ready */ | 1ull << 37 /* NVM command set */;
constexpr std::uint32_t kVersion = 0x00010400;
constexpr Micros kRetryDelayUnit = 100'000; // unit of kRetryDelays in the specification
constexpr Micros kKeepAliveSlack = 1'000'000;
constexpr std::size_t kMaxReportedHeadBytes = 24; // of an incomplete PDU, in the termination request
constexpr std::size_t kMaxTransferTags = 0xffff;
constexpr std::size_t kMaxOpenTransfers = std::size_t{2} * kQueueEntries; // whose commands wait for the data
constexpr std::size_t kConnectDataBytes = 1024, kIdentifyDataBytes = 4096;

std::string_view until_nul(std::string_view field) {
    return field.substr(0, field.find('\0'));
}

} // namespace

Status16 to_status(const core::Outcome &outcome) {
    if (outcome.kind == core::Outcome::Kind::Served)
        return {};
    if (outcome.kind == core::Outcome::Kind::Failed)
        return {status::kInternal, 0, !outcome.retry_safe};
    // Refused: nothing has run. Chooses the shortest delay that is at least `retry_after`, the longest delay
    // if all are shorter, and none without `retry_after`.
    Status16 refused{status::kNotReady, 0, false};
    if (outcome.retry_after > 0) {
        refused.retry_delay = 3;
        for (std::uint8_t n = 3; n > 0; --n)
            if (kRetryDelays[n - 1] * kRetryDelayUnit >= outcome.retry_after)
                refused.retry_delay = n;
    }
    return refused;
}

/// The session of one queue, admin or I/O, of an NVMe host.
class FrontSession : public Session {
public:
    FrontSession(Client &client, core::FrontEndServices services, InputTurns &turns, const Mapping &mapping,
                 Controllers &controllers)
        : Session(client, services.deadlines, services.memory, turns), services_(std::move(services)),
          mapping_(mapping), controllers_(controllers) {}
    ~FrontSession() override { leave(); }

    // Aborts a command of this queue. Returns false if the queue has no open command with this identifier.
    bool abort(std::uint16_t cid) {
        const auto it = commands_.find(cid);
        if (it == commands_.end())
            return false;
        bool may_have_run = false;
        if (it->second.request_handler) {
            // The command is completed as aborted below, so the outcome of its request is not needed.
            it->second.request_handler->client_disconnected(it->second.id);
            may_have_run = it->second.write;
        }
        complete(cid, {status::kAborted, 0, may_have_run});
        return true;
    }
    void close() { client_.close(CloseReason::ClientDisconnected); } // the controller has ended
    void on_io_queues_changed() {
        client_.set_needed(controllers_.has_io_queues(controller_));
        if (client_.notify)
            client_.notify();
    }

private:
    const char *front_name() const override { return "nvme"; }
    struct OpenCommand {
        bool write = false;
        Micros received_at = 0;
        core::RequestHandler *request_handler = nullptr; // set once the command is submitted as a request
        RequestId id{};
        std::optional<std::uint16_t> tag; // the transfer that it waits for
        std::uint64_t serial = 0;
    };
    struct Transfer { // data requested by R2T; may outlive its command until all data has arrived
        std::uint16_t cid = 0;
        std::uint32_t length = 0;
        std::string data;
        std::uint32_t received = 0;
        bool needed = true; // if not, data is discarded as it arrives
        Command command;
        core::Deadlines::Entry timeout;
    };

    // ---- PDUs ----

    void parse_received() override {
        try {
            while (!is_output_full()) {
                const auto pdu = take(input_);
                if (!pdu)
                    break;
                if (!started_)
                    handle_initialize(*pdu);
                else if (pdu->type == Type::Command)
                    handle_command(*pdu, arrival_before(input_.size()));
                else if (pdu->type == Type::H2CData)
                    handle_data(*pdu);
                else if (pdu->type == Type::H2CTermReq)
                    return end_connection("the host ended the connection");
                else
                    throw Malformed(Fatal::Sequence, "unexpected PDU", pdu->head);
                message_started_at_ = last_read_at_; // the bytes after it arrived no later
                if (keep_alive_ > 0)
                    restart_keep_alive_timer();
            }
        } catch (const Malformed &error) { // reports the error to the host and ends the connection
            core::log("nvme client {}: {}", client_.id, error.what());
            client_.note_close_reason(CloseReason::ProtocolError);
            send(term_req(Type::C2HTermReq, error), 0);
            end_connection("malformed");
        }
    }
    std::size_t partial_message_bytes() const override {
        std::size_t bytes = input_.size();
        for (const auto &[tag, transfer] : transfers_)
            bytes += transfer.data.size();
        return bytes;
    }
    std::size_t requests_awaiting_input() const override {
        return static_cast<std::size_t>(
            std::ranges::count_if(transfers_, [](const auto &entry) { return entry.second.needed; }));
    }
    Micros idle_timeout() const override { return 0; } // the keep-alive timeout applies instead
    void reject_input(const char *why) override {
        core::log("nvme client {}: {}", client_.id, why);
        send(term_req(Type::C2HTermReq,
                      Malformed(Fatal::HeaderField, why, input_.substr(0, kMaxReportedHeadBytes))),
             0);
        end_connection(why);
    }
    void end_connection(const char *) {
        std::string().swap(input_);
        reading_finished_ = true;
        client_.complete_requests(commands_.size()); // they get no answer; queued bytes are still sent
        on_disconnect();
    }

    void handle_initialize(const Pdu &pdu) {
        if (pdu.type != Type::ICReq)
            throw Malformed(Fatal::Sequence, "no ICReq first", pdu.head);
        if (get<std::uint16_t>(pdu.head, 8) != 0)
            throw Malformed(Fatal::Unsupported, "PDU format", pdu.head);
        if (24 % ((get<std::uint8_t>(pdu.head, 10) + 1) * 4) != 0)
            throw Malformed(Fatal::Unsupported, "data alignment", pdu.head);
        started_ = true;
        send(ic_resp(kMaxPduDataBytes), 0);
    }

    void handle_command(const Pdu &pdu, Micros received_at) {
        Command c{pdu.head.substr(8, 64)};
        if (commands_.count(c.cid())) { // the host could not tell two answers with one identifier apart
            client_.add_open_request();
            return send_completion(c.cid(), {status::kIdConflict, 0, true});
        }
        client_.add_open_request();
        commands_[c.cid()] = {c.opcode() == op::kWrite, received_at, nullptr, {}, {}, ++last_serial_};
        const bool has_data =
            c.opcode() == op::kWrite || (c.opcode() == op::kFabrics && c.fabrics_type() == op::kConnect);
        if (!has_data)
            return execute(c, {});
        if (!pdu.data.empty() || c.sgl_type() == kSglInCapsule) {
            if (pdu.data.size() != c.sgl_length())
                return complete(c.cid(), {status::kInvalidField, 0, true});
            return execute(c, pdu.data);
        }
        const std::uint32_t length = c.sgl_length();
        if (c.opcode() != op::kWrite || length != mapping_.block_bytes)
            return complete(c.cid(), {status::kInvalidField, 0, true});
        if (const Status16 refused = check(c); !refused.ok())
            return complete(c.cid(), refused);
        if (client_.refuses(deadlines_.clock.now()))
            return complete(c.cid(), {status::kNotReady, 0, false});
        request_data(c, length);
    }

    void request_data(const Command &c, std::uint32_t length) {
        if (requests_awaiting_input() >= kMaxOpenTransfers || transfers_.size() >= kMaxTransferTags)
            return complete(c.cid(), {status::kNotReady, 1, false});
        do
            ++last_tag_; // skips tags of transfers whose data may still arrive
        while (transfers_.count(last_tag_));
        Transfer &t = transfers_[last_tag_];
        t.cid = c.cid();
        t.length = length;
        t.command = c;
        commands_[c.cid()].tag = last_tag_;
        const Micros deadline = commands_[c.cid()].received_at + mapping_.namespaces.at(c.nsid()).write_wait;
        t.timeout = deadlines_.at(deadline, [this, cid = c.cid()] {
            // The data did not arrive in time, so the command was not executed and the host may retry it.
            complete(cid, {status::kTransferError, 0, false});
        });
        send(r2t(c.cid(), last_tag_, 0, length), 0);
    }

    void handle_data(const Pdu &pdu) {
        const auto cid = get<std::uint16_t>(pdu.head, 8), tag = get<std::uint16_t>(pdu.head, 10);
        const auto offset = get<std::uint32_t>(pdu.head, 12), length = get<std::uint32_t>(pdu.head, 16);
        const auto it = transfers_.find(tag);
        if (it == transfers_.end() || it->second.cid != cid)
            throw Malformed(Fatal::HeaderField, "data that was not asked for", pdu.head);
        Transfer &t = it->second;
        if (offset != t.received || length != pdu.data.size() || length == 0 ||
            length > t.length - t.received)
            throw Malformed(Fatal::OutOfRange, "data out of range", pdu.head);
        t.received += length;
        if (t.needed)
            t.data += pdu.data;
        if (t.received < t.length)
            return;
        const Transfer complete_transfer = std::move(t);
        transfers_.erase(it);
        if (!complete_transfer.needed)
            return;
        commands_[cid].tag.reset();
        execute(complete_transfer.command, complete_transfer.data);
    }

    // ---- Commands ----

    void execute(const Command &c, const std::string &data) {
        if (c.opcode() == op::kFabrics)
            return fabrics(c, data);
        if (!controller_)
            return complete(c.cid(), {status::kSequence, 0, true});
        if (queue_ > 0) {
            if (c.opcode() != op::kRead && c.opcode() != op::kWrite)
                return complete(c.cid(), {status::kInvalidOpcode, 0, true});
            if (const Status16 refused = check(c); !refused.ok())
                return complete(c.cid(), refused);
            return submit_request(c, data);
        }
        if (c.opcode() == op::kIdentify)
            return identify(c);
        if (c.opcode() == op::kKeepAlive)
            return complete(c.cid(), {});
        if (c.opcode() != op::kAbort)
            return complete(c.cid(), {status::kInvalidOpcode, 0, true});
        FrontSession *queue = controllers_.find(controller_, c.dword<std::uint16_t>(10));
        const auto cid = static_cast<std::uint16_t>(c.dword<std::uint32_t>(10) >> 16);
        const bool done = queue && queue != this && queue->abort(cid);
        complete(c.cid(), {}, done ? 0 : 1);
    }

    Status16 check(const Command &c) const {
        const auto ns = mapping_.namespaces.find(c.nsid());
        if (!controller_ || queue_ == 0)
            return {status::kSequence, 0, true};
        if (ns == mapping_.namespaces.end())
            return {status::kInvalidNamespace, 0, true};
        if (c.dword<std::uint64_t>(10) >= ns->second.blocks)
            return {status::kLbaRange, 0, true};
        if (c.dword<std::uint16_t>(12) != 0 || c.sgl_length() != mapping_.block_bytes)
            return {status::kInvalidField, 0, true}; // one block per command, as Identify announces
        return {};
    }

    void submit_request(const Command &c, const std::string &data) {
        const Namespace &ns = mapping_.namespaces.at(c.nsid());
        const std::uint64_t piece = ns.first_piece + c.dword<std::uint64_t>(10);
        OpenCommand &open_command = commands_[c.cid()];
        auto r = std::make_shared<core::Request>();
        r->data_key = fmt::format("{:016x}", piece);
        r->id = fmt::format("{:016x}", services_.random_number());
        r->connection_id = client_.id;
        r->received_at = open_command.received_at;
        r->body = data;
        RequestArrived &f = r->arrival;
        f.write = c.opcode() == op::kWrite;
        f.cls = f.write ? ns.write_class : ns.read_class;
        f.plan = ns.plan;
        f.volume = ns.volume;
        f.key = DataKey{piece};
        f.shard = ns.shard;
        f.units = ns.units;
        f.hosts = ns.hosts;
        r->timeout = f.write ? ns.write_wait : ns.read_wait;
        // The broker's own retries share one key; a host's retry is a new command with a key of its own.
        if (services_.settings.classes[f.cls].idempotency == Idempotency::WithKey)
            r->idempotency_key = fmt::format("{:016x}", services_.random_number());
        if (client_.use().closing)
            ++client_.requests_while_closing;
        r->refuse_immediately = client_.refuses(deadlines_.clock.now());
        core::RequestHandler &request_handler = services_.request_handler(*r);
        open_command.request_handler = &request_handler;
        const std::uint64_t serial = open_command.serial;
        const std::weak_ptr<Session> weak = weak_from_this();
        const RequestId id =
            request_handler.submit(r, [this, weak, cid = c.cid(), serial](const core::Outcome &outcome) {
                if (const auto self = weak.lock())
                    answer(cid, serial, outcome);
                else if (outcome.stream)
                    outcome.stream->abandon();
            });
        if (const auto it = commands_.find(c.cid()); it != commands_.end() && it->second.serial == serial)
            it->second.id = id;
    }

    void answer(std::uint16_t cid, std::uint64_t serial, const core::Outcome &outcome) {
        if (!is_open(cid, serial))
            return outcome.stream ? outcome.stream->abandon() : void();
        if (outcome.stream) { // longer than any block, so no part of it is sent
            outcome.stream->abandon();
            return complete(cid, {status::kTransferError, 0, true});
        }
        Status16 status = to_status(outcome);
        if (status.ok() && !commands_[cid].write) {
            if (outcome.value.size() > mapping_.block_bytes) {
                status = {status::kTransferError, 0, true}; // longer than the block, so no part of it is sent
            } else {
                std::string block = outcome.value;
                block.resize(mapping_.block_bytes, '\0');
                send(data(Type::C2HData, cid, 0, 0, block, true), 0);
            }
        }
        complete(cid, status);
    }

    bool is_open(std::uint16_t cid, std::uint64_t serial) const { // false if disconnected or aborted
        const auto it = commands_.find(cid);
        return !is_disconnected() && it != commands_.end() && it->second.serial == serial;
    }

    void fabrics(const Command &c, const std::string &data) {
        if (c.fabrics_type() == op::kConnect)
            return connect(c, data);
        if (!controller_ || queue_ != 0)
            return complete(c.cid(), {status::kSequence, 0, true});
        const auto offset = c.dword<std::uint32_t>(11);
        if (c.fabrics_type() == op::kPropertyGet) {
            if (offset == property::kCap)
                return complete(c.cid(), {}, kCap);
            if (offset == property::kVersion)
                return complete(c.cid(), {}, kVersion);
            if (offset == property::kConfig)
                return complete(c.cid(), {}, config_);
            if (offset == property::kStatus)
                return complete(c.cid(), {}, config_ & 1); // ready once enabled
        } else if (c.fabrics_type() == op::kPropertySet && offset == property::kConfig) {
            config_ = c.dword<std::uint32_t>(12);
            return complete(c.cid(), {});
        }
        complete(c.cid(), {status::kInvalidField, 0, true});
    }

    void connect(const Command &c, const std::string &data) {
        const Status16 wrong{status::kConnectInvalid, 0, true};
        if (controller_)
            return complete(c.cid(), {status::kSequence, 0, true});
        if (data.size() != kConnectDataBytes || c.dword<std::uint16_t>(10) != 0)
            return complete(c.cid(), wrong);
        if (until_nul(std::string_view(data).substr(256, 256)) != mapping_.subsystem)
            return complete(c.cid(), wrong);
        queue_ = static_cast<std::uint16_t>(c.dword<std::uint32_t>(10) >> 16);
        if (queue_ == 0) {
            controller_ = controllers_.make(*this);
            const auto kato = c.dword<std::uint32_t>(12);
            keep_alive_ = kato > 0 ? kato * Micros{1000} + kKeepAliveSlack : 0;
        } else if (const auto asked = get<std::uint16_t>(data, 16); controllers_.join(asked, queue_, *this)) {
            controller_ = asked;
        }
        if (!controller_)
            return complete(c.cid(), wrong);
        client_.mark_requested();
        client_.mark_persistent();
        complete(c.cid(), {}, controller_);
    }

    void identify(const Command &c) {
        std::string page(kIdentifyDataBytes, '\0');
        const auto structure = c.dword<std::uint8_t>(10);
        const auto put = [&](std::size_t at, std::size_t width, std::string_view value) {
            std::string padded(value.substr(0, width));
            padded.resize(width, ' ');
            page.replace(at, width, padded);
        };
        if (structure == 0x01) { // Identify Controller
            put(4, 20, "1");
            put(24, 40, "marblewood");
            put(64, 8, "0.1");
            const auto pages = static_cast<std::uint8_t>(std::countr_zero(mapping_.block_bytes / 4096));
            // MDTS is one block, as a power of two of the page size. For a block of one page that is 0, which
            // means no limit to the host; check() refuses longer commands.
            set<std::uint8_t>(page, 77, pages);
            set<std::uint16_t>(page, 78, controller_);
            set<std::uint32_t>(page, 80, kVersion);
            for (std::size_t n = 0; n < kRetryDelays.size(); ++n)
                set(page, 128 + 2 * n, kRetryDelays[n]);
            set<std::uint8_t>(page, 258, 3);    // abort command limit, 0-based
            set<std::uint16_t>(page, 320, 10);  // keep-alive granularity in units of 100 ms
            set<std::uint8_t>(page, 512, 0x66); // submission queue entry size
            set<std::uint8_t>(page, 513, 0x44);
            set<std::uint16_t>(page, 514, kQueueEntries);
            set<std::uint32_t>(page, 516,
                               mapping_.namespaces.empty() ? 0 : mapping_.namespaces.rbegin()->first);
            set<std::uint32_t>(page, 536,
                               0x00100001); // SGLs, with offsets for in-capsule data
            page.replace(768, mapping_.subsystem.size(), mapping_.subsystem);
            set<std::uint32_t>(page, 1792, 4); // capsule of an I/O command: 64 bytes, no data
            set<std::uint32_t>(page, 1796, 1);
        } else if (structure == 0x00) {
            const auto ns = mapping_.namespaces.find(c.nsid());
            if (ns == mapping_.namespaces.end())
                return complete(c.cid(), {status::kInvalidNamespace, 0, true});
            for (const std::size_t at : {0, 8, 16})
                set(page, at, ns->second.blocks);
            set<std::uint8_t>(page, 130, static_cast<std::uint8_t>(std::countr_zero(mapping_.block_bytes)));
        } else if (structure == 0x02) {
            std::size_t at = 0;
            for (const auto &[nsid, ns] : mapping_.namespaces)
                if (nsid > c.nsid() && at < kIdentifyDataBytes)
                    set(page, at, nsid), at += 4;
        } else {
            return complete(c.cid(), {status::kInvalidField, 0, true});
        }
        send(data(Type::C2HData, c.cid(), 0, 0, page, true), 0);
        complete(c.cid(), {});
    }

    // ---- Completions ----

    // Completes an open command; does nothing if it is completed already.
    void complete(std::uint16_t cid, Status16 status, std::uint64_t result = 0) {
        const auto it = commands_.find(cid);
        if (it == commands_.end())
            return;
        if (it->second.tag) { // some of its data may have arrived; the rest is discarded
            Transfer &t = transfers_.at(*it->second.tag);
            t.needed = false;
            t.data.clear();
            t.timeout.reset();
        }
        commands_.erase(it);
        send_completion(cid, status, result);
    }
    void send_completion(std::uint16_t cid, Status16 status, std::uint64_t result = 0) {
        Completion done;
        done.cid = cid;
        done.queue = queue_;
        done.result = result;
        done.status = status;
        done.sq_head = static_cast<std::uint16_t>(++completed_ % kQueueEntries);
        send(done.capsule(), 1);
    }

    void on_disconnect() override {
        for (const auto &[cid, open_command] : commands_)
            if (open_command.request_handler)
                open_command.request_handler->client_disconnected(open_command.id);
        commands_.clear();
        transfers_.clear();
        keep_alive_ = 0;
        keep_alive_timer_.reset();
        leave();
    }
    // Ending the admin queue ends the controller, whose I/O queues may have open commands.
    bool may_end() const override { return queue_ != 0 || !controllers_.has_io_queues(controller_); }
    void answer_now() override {
        std::vector<std::pair<core::RequestHandler *, RequestId>> open;
        std::vector<std::uint16_t> without_data;
        for (const auto &[cid, open_command] : commands_)
            if (open_command.request_handler)
                open.emplace_back(open_command.request_handler, open_command.id);
            else
                without_data.push_back(cid);
        for (const auto &[request_handler, id] : open)
            request_handler->answer_now(id);
        for (const std::uint16_t cid : without_data)
            complete(cid, {status::kNotReady, 0, false});
    }
    void leave() {
        if (controller_)
            controllers_.leave(std::exchange(controller_, 0), queue_, *this);
    }
    void restart_keep_alive_timer() {
        keep_alive_timer_ = deadlines_.in(keep_alive_, [this] {
            if (holds_input_back())
                return restart_keep_alive_timer();
            core::log("nvme client {}: no keep-alive in time", client_.id);
            client_.close(CloseReason::KeepAlive);
        });
    }

    core::FrontEndServices services_;
    const Mapping &mapping_;
    Controllers &controllers_;
    std::map<std::uint16_t, OpenCommand> commands_;
    std::map<std::uint16_t, Transfer> transfers_;
    std::uint16_t controller_ = 0, queue_ = 0, last_tag_ = 0;
    std::uint32_t config_ = 0;
    std::uint64_t last_serial_ = 0, completed_ = 0;
    bool started_ = false;
    Micros keep_alive_ = 0;
    core::Deadlines::Entry keep_alive_timer_;
};

std::uint16_t Controllers::make(FrontSession &admin) {
    do
        ++last_controller_;
    while (last_controller_ == 0 || last_controller_ >= 0xfff0 || queues_.count(last_controller_));
    queues_[last_controller_][0] = &admin;
    return last_controller_;
}
bool Controllers::join(std::uint16_t controller, std::uint16_t queue, FrontSession &session) {
    const auto it = queues_.find(controller);
    if (it == queues_.end() || !it->second.emplace(queue, &session).second)
        return false;
    if (const auto admin = it->second.find(0); admin != it->second.end())
        admin->second->on_io_queues_changed();
    return true;
}
void Controllers::leave(std::uint16_t controller, std::uint16_t queue, const FrontSession &session) {
    const auto it = queues_.find(controller);
    if (it == queues_.end())
        return;
    const auto at = it->second.find(queue);
    if (at == it->second.end() || at->second != &session)
        return;
    it->second.erase(at);
    if (queue != 0) {
        if (const auto admin = it->second.find(0); admin != it->second.end())
            admin->second->on_io_queues_changed();
        return;
    }
    const auto others = std::move(it->second); // ending the admin queue ends the controller
    queues_.erase(it);
    for (const auto &[number, other] : others)
        other->close();
}
bool Controllers::has_io_queues(std::uint16_t controller) const {
    const auto it = queues_.find(controller);
    return it != queues_.end() && it->second.size() > it->second.count(0);
}
FrontSession *Controllers::find(std::uint16_t controller, std::uint16_t queue) const {
    const auto it = queues_.find(controller);
    if (it == queues_.end())
        return nullptr;
    const auto at = it->second.find(queue);
    return at == it->second.end() ? nullptr : at->second;
}

asio::awaitable<void> serve(Client &client, core::FrontEndServices services, InputTurns &turns,
                            const Mapping &mapping, Controllers &controllers) {
    const auto session =
        std::make_shared<FrontSession>(client, std::move(services), turns, mapping, controllers);
    co_await session->run();
}

} // namespace marblewood::net::nvme
