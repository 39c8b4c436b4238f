#include "net/nvme/node_port.hpp"

#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <set>

namespace marblewood::net::nvme {
namespace {

constexpr Micros kDial = 250'000;          // us for an association to come up, where the settings do not say
constexpr Micros kAbortWithin = 2'000'000; // us for an aborted command to be completed; else all is given up
constexpr Micros kKeepAlive = 5'000'000;   // us between keep-alives, and for the answer to one
constexpr Micros kGap = 100'000; // us of silence in a PDU that has begun, after which it does not go on
constexpr std::size_t kChunk = 16 * 1024; // bytes of one H2CData, so that a cancel can stop half-way
constexpr std::uint16_t kEntries = 128;

struct Up {};
struct Down {};
struct Stop {};
using Event = std::variant<Up, Down, Stop, Completion>;
using Mail = core::Mailbox<Event>;

} // namespace

Status read_status(const Status16 &s) {
    if (s.ok())
        return Status::Ok;
    if (s.code == status::kNotReady || s.code == status::kPathInaccessible ||
        s.code == status::kPathTransition)
        return Status::Rejected; // turned away before it ran
    return Status::Error;
}

// One queue's connection: PDUs out in order, PDUs in one at a time.
class Queue {
public:
    struct Out {              // a command that has no completion yet; its identifier is not used again before
        Mail *mail = nullptr; // null: given up
        std::string body, read;
        std::function<void()> written;     // called with its last byte
        bool begun = false, whole = false; // its first, its last byte is written
        core::Deadlines::Entry patience;
    };
    struct Chunk {
        std::string bytes;
        std::uint16_t cid;
        bool last;
        std::function<bool()> gate; // asked just before it is written
    };

    explicit Queue(asio::any_io_executor executor) : socket(std::move(executor)) {}

    // An identifier that no command bears, a given-up one included.
    std::optional<std::uint16_t> take_id() {
        if (out.size() >= kEntries - 1)
            return std::nullopt;
        do
            last_id_ = static_cast<std::uint16_t>((last_id_ + 1) % 0xfff0);
        while (out.count(last_id_));
        return last_id_;
    }

    tcp::socket socket;
    SocketBudget::Lease lease;
    std::string in;
    std::map<std::uint16_t, Out> out;
    std::deque<Chunk> chunks;
    bool writing = false;

private:
    std::uint16_t last_id_ = 0;
};

class Association : public std::enable_shared_from_this<Association> {
public:
    Association(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget,
                tcp::endpoint at, NodeMapping mapping, std::uint32_t block_bytes, Micros patience)
        : address(at), mapping_(std::move(mapping)), executor_(std::move(executor)), deadlines_(deadlines),
          budget_(budget), block_bytes_(block_bytes), patience_(patience) {}

    // Puts Up into the mail once the association stands, Down if it does not come to.
    void want(Mail &mail) {
        if (admin_ && up_)
            return mail.put(Up{});
        waiting.insert(&mail);
        if (!connecting_)
            asio::co_spawn(executor_, establish(shared_from_this()), asio::detached);
        connecting_ = true;
    }

    std::optional<std::uint16_t> issue(Mail &mail, Command command, std::string body,
                                       std::function<bool()> gate, std::function<void()> written) {
        const auto cid = io_->take_id();
        if (!cid)
            return std::nullopt;
        set(command.bytes, 2, *cid);
        Queue::Out &out = io_->out[*cid];
        out.mail = &mail;
        out.body = std::move(body);
        out.written = std::move(written);
        const bool last = out.body.empty(); // a Write may run once its data is there, not before
        put(io_, {command.capsule(), *cid, last, std::move(gate)});
        return cid;
    }

    // The attempt's command will have no more listener. It is aborted if any of it went out, and bears its
    // identifier until the node completes it; data that comes for it meanwhile is discarded.
    void give_up(std::uint16_t cid) {
        if (!up_)
            return;
        const auto it = io_->out.find(cid);
        if (it == io_->out.end())
            return;
        std::erase_if(io_->chunks, [&](const Queue::Chunk &c) { return c.cid == cid; });
        if (!it->second.begun) {
            io_->out.erase(it);
            return;
        }
        it->second.mail = nullptr;
        it->second.read.clear();
        it->second.patience =
            deadlines_.in(kAbortWithin, [this] { drop("an aborted command is not completed"); });
        Command abort = Command::make(op::kAbort, 0);
        abort.set_dword(10, static_cast<std::uint32_t>(1 | cid << 16));
        admin_command(std::move(abort), nullptr);
    }

    bool admin_command(Command command, Mail *mail) {
        const auto cid = admin_ ? admin_->take_id() : std::nullopt;
        if (!cid)
            return false;
        set(command.bytes, 2, *cid);
        admin_->out[*cid].mail = mail;
        put(admin_, {command.capsule(), *cid, true, {}});
        return true;
    }
    void forget(Mail &mail) {
        waiting.erase(&mail);
        for (const auto &queue : {admin_, io_})
            if (queue)
                for (auto &[cid, out] : queue->out)
                    if (out.mail == &mail)
                        out.mail = nullptr;
    }
    Queue::Out *find(std::uint16_t cid) {
        if (!io_)
            return nullptr;
        const auto it = io_->out.find(cid);
        return it == io_->out.end() ? nullptr : &it->second;
    }
    void finished(std::uint16_t cid) {
        if (io_)
            io_->out.erase(cid);
    }
    bool idle() const { return !io_ || io_->out.empty(); }

    // Ends the connections. What was out is told so; whether it may have run, its Out says.
    void drop(const char *why) {
        if (!admin_)
            return;
        if (why)
            core::log("nvme node {}:{}: {}", address.address().to_string(), address.port(), why);
        up_ = false;
        keep_alive_.reset();
        std::vector<Mail *> told(waiting.begin(), waiting.end());
        waiting.clear();
        boost::system::error_code ignored;
        for (const auto &queue : {admin_, io_}) {
            if (!queue)
                continue;
            queue->chunks.clear();
            queue->socket.close(ignored);
            for (auto &[cid, out] : queue->out)
                if (out.mail)
                    told.push_back(out.mail);
        }
        last_io_ = io_; // run() still looks up what of its command was written
        admin_ = io_ = nullptr;
        for (Mail *mail : told)
            mail->put(Down{});
    }
    bool was_whole(std::uint16_t cid) const {
        const auto &queue = io_ ? io_ : last_io_;
        if (!queue)
            return false;
        const auto it = queue->out.find(cid);
        return it != queue->out.end() && it->second.whole;
    }

    std::uint32_t nsid() const { return mapping_.nsid; }

    const tcp::endpoint address;
    std::set<Mail *> waiting;

private:
    using QueuePtr = std::shared_ptr<Queue>;

    void put(const QueuePtr &queue, Queue::Chunk chunk) {
        queue->chunks.push_back(std::move(chunk));
        if (!std::exchange(queue->writing, true))
            asio::co_spawn(executor_, write(shared_from_this(), queue), asio::detached);
    }

    asio::awaitable<void> write(std::shared_ptr<Association> self, QueuePtr queue) {
        while (!queue->chunks.empty()) {
            const Queue::Chunk chunk = std::move(queue->chunks.front());
            queue->chunks.pop_front();
            auto out = queue->out.find(chunk.cid);
            if (chunk.gate && !chunk.gate()) { // too late, or drained meanwhile: not a byte goes out
                if (out == queue->out.end())
                    continue;
                Mail *mail = out->second.mail;
                queue->out.erase(out);
                if (mail)
                    mail->put(Stop{});
                continue;
            }
            if (out != queue->out.end())
                out->second.begun = true;
            boost::system::error_code error;
            const std::size_t written = co_await write_all(queue->socket, chunk.bytes, error);
            out = queue->out.find(chunk.cid);
            if (out != queue->out.end() && chunk.last && written == chunk.bytes.size()) {
                out->second.whole = true;
                if (out->second.written)
                    out->second.written();
            }
            if (error) {
                if (queue == self->admin_ || queue == self->io_)
                    self->drop(error.message().c_str());
                break;
            }
        }
        queue->writing = false;
    }

    asio::awaitable<std::optional<Pdu>> receive(QueuePtr queue) {
        core::Deadlines::Entry limit; // a PDU that has begun and does not go on holds up all behind it
        for (;;) {
            if (auto pdu = take(queue->in))
                co_return pdu;
            if (!queue->in.empty())
                limit = deadlines_.in(kGap, [queue] {
                    boost::system::error_code ignored;
                    if (queue->socket.available(ignored) == 0)
                        queue->socket.close(ignored);
                });
            if (co_await read_more(queue->socket, queue->in))
                co_return std::nullopt;
        }
    }

    // A command of the time before the queue is in use: written, then its completion awaited.
    asio::awaitable<std::optional<Completion>> ask(QueuePtr queue, Command command, std::string body,
                                                   std::string *read) {
        const std::string bytes = command.capsule(body);
        boost::system::error_code error;
        co_await write_all(queue->socket, bytes, error);
        while (!error) {
            const std::optional<Pdu> pdu = co_await receive(queue);
            if (!pdu)
                break;
            if (pdu->type == Type::C2HData && read)
                *read += pdu->data;
            else if (pdu->type == Type::Response)
                co_return Completion::read(*pdu);
            else
                break;
        }
        co_return std::nullopt;
    }

    // Brings up one queue; the controller's number, or nothing.
    asio::awaitable<std::optional<std::uint16_t>> connect(QueuePtr queue, std::uint16_t number,
                                                          std::uint16_t controller, Micros until) {
        const boost::system::error_code error = co_await dial(queue->socket, address, until, deadlines_);
        if (error)
            co_return std::nullopt;
        const std::string hello = ic_req();
        boost::system::error_code lost;
        co_await write_all(queue->socket, hello, lost);
        const std::optional<Pdu> answer = co_await receive(queue);
        if (!answer || answer->type != Type::ICResp)
            co_return std::nullopt;
        most_data_ = std::max<std::uint32_t>(get<std::uint32_t>(answer->head, 12), 4096);
        Command command = Command::make(op::kFabrics, 0xfff0);
        set(command.bytes, 4, op::kConnect);
        command.describe_data(1024, true);
        command.set_dword(10, static_cast<std::uint32_t>(number) << 16);
        command.set_dword(11, static_cast<std::uint32_t>(kEntries - 1));
        command.set_dword(12, number == 0 ? static_cast<std::uint32_t>(2 * kKeepAlive / 1000) : 0u);
        std::string data(1024, '\0');
        set(data, 16, controller);
        data.replace(256, mapping_.subsystem.size(), mapping_.subsystem);
        data.replace(512, 33, "nqn.2026-12.net.hanbit:marblewood");
        const auto done = co_await ask(queue, command, data, nullptr);
        if (!done || !done->status.ok())
            co_return std::nullopt;
        co_return static_cast<std::uint16_t>(done->result);
    }

    asio::awaitable<bool> bring_up(Micros until) {
        const QueuePtr admin = admin_, io = io_;
        const auto controller = co_await connect(admin, 0, 0xffff, until);
        if (!controller)
            co_return false;
        Command enable = Command::make(op::kFabrics, 0xfff0);
        set(enable.bytes, 4, op::kPropertySet);
        enable.set_dword(11, property::kConfig);
        enable.set_dword(12, 0x00460001u); // entry sizes, enabled
        auto done = co_await ask(admin, enable, {}, nullptr);
        if (!done || !done->status.ok())
            co_return false;
        Command look = Command::make(op::kFabrics, 0xfff0);
        set(look.bytes, 4, op::kPropertyGet);
        look.set_dword(11, property::kStatus);
        do {
            done = co_await ask(admin, look, {}, nullptr);
            if (!done || !done->status.ok() || (done->result & 2))
                co_return false;
        } while (!(done->result & 1));
        std::string page;
        Command identify = Command::make(op::kIdentify, 0xfff0, mapping_.nsid);
        identify.describe_data(4096, false);
        done = co_await ask(admin, identify, {}, &page);
        if (!done || !done->status.ok() || page.size() != 4096)
            co_return false;
        const auto format = get<std::uint8_t>(page, 26);
        const std::size_t at = 128 + 4 * (format & 0xf);
        if (get<std::uint16_t>(page, at) != kMetadata || !(format & 0x10) ||
            get<std::uint8_t>(page, at + 2) > 16 || 1u << get<std::uint8_t>(page, at + 2) != block_bytes_) {
            core::log(
                "nvme node {}: its namespace is not of {}-byte blocks with 8 bytes of extended metadata",
                address.address().to_string(), block_bytes_);
            co_return false;
        }
        const auto joined = co_await connect(io, 1, *controller, until);
        co_return joined.has_value();
    }

    asio::awaitable<void> establish(std::shared_ptr<Association> self) {
        admin_ = std::make_shared<Queue>(executor_);
        io_ = std::make_shared<Queue>(executor_);
        admin_->lease = budget_.node();
        io_->lease = budget_.node();
        bool good = false;
        {
            const Micros until = deadlines_.clock.now() + patience_;
            const auto limit = deadlines_.at(until, [this] { drop("does not come up"); });
            try {
                good = co_await bring_up(until);
            } catch (const Malformed &error) {
                core::log("nvme node: {}", error.what());
            }
        }
        connecting_ = false;
        if (!good || !admin_) {
            drop("not connected");
            co_return;
        }
        up_ = true;
        asio::co_spawn(executor_, listen(self, admin_), asio::detached);
        asio::co_spawn(executor_, listen(self, io_), asio::detached);
        keep_alive();
        const std::set<Mail *> told = std::exchange(waiting, {});
        for (Mail *mail : told)
            mail->put(Up{});
    }

    void keep_alive() {
        keep_alive_ = deadlines_.in(kKeepAlive, [this] {
            if (!admin_)
                return;
            if (!admin_->out.empty())
                return drop("no answer to a keep-alive");
            admin_command(Command::make(op::kKeepAlive, 0), nullptr);
            keep_alive();
        });
    }

    asio::awaitable<void> listen([[maybe_unused]] std::shared_ptr<Association> self, QueuePtr queue) {
        const char *why = "connection lost";
        std::string goodbye;
        try {
            for (;;) {
                const std::optional<Pdu> pdu = co_await receive(queue);
                if (!pdu)
                    break;
                if (pdu->type == Type::C2HTermReq) {
                    why = "it ended the connection";
                    break;
                }
                heed(queue, *pdu);
            }
        } catch (const Malformed &error) {
            why = "malformed PDU";
            goodbye = term_req(Type::H2CTermReq, error);
        }
        if (!goodbye.empty()) { // it learns why, if it still listens
            boost::system::error_code ignored;
            queue->socket.non_blocking(true, ignored);
            queue->socket.write_some(asio::buffer(goodbye), ignored);
        }
        if (queue == admin_ || queue == io_)
            drop(why);
    }

    void heed(const QueuePtr &queue, const Pdu &pdu) {
        const auto wrong = [&](Fatal fatal, const char *what) { return Malformed(fatal, what, pdu.head); };
        if (pdu.type == Type::Response)
            return complete(queue, Completion::read(pdu));
        if (queue != io_ || (pdu.type != Type::C2HData && pdu.type != Type::R2T))
            throw wrong(Fatal::Sequence, "unexpected PDU");
        const auto it = queue->out.find(get<std::uint16_t>(pdu.head, 8));
        if (it == queue->out.end())
            throw wrong(Fatal::HeaderField, "no such command");
        Queue::Out &out = it->second;
        const auto offset = get<std::uint32_t>(pdu.head, 12), length = get<std::uint32_t>(pdu.head, 16);
        const std::size_t block = block_bytes_ + kMetadata;
        if (pdu.type == Type::C2HData) {
            if (length != pdu.data.size() || offset > block || length > block - offset)
                throw wrong(Fatal::OutOfRange, "data out of range");
            if (out.mail) { // else given up: late data is discarded
                if (offset != out.read.size())
                    throw wrong(Fatal::OutOfRange, "data out of order");
                out.read += pdu.data;
            }
            if (pdu.flags & kSuccess) {
                Completion done;
                done.cid = it->first;
                complete(queue, done);
            }
            return;
        }
        if (!out.mail)
            return; // aborted: its completion will come without the data
        if (offset > out.body.size() || length > out.body.size() - offset || length == 0)
            throw wrong(Fatal::OutOfRange, "R2T out of range");
        const auto tag = get<std::uint16_t>(pdu.head, 10);
        const std::size_t step = std::min<std::size_t>(kChunk, most_data_), end = offset + length;
        for (std::size_t at = offset; at < end; at += step) {
            const std::size_t size = std::min(step, end - at);
            const std::string_view bytes = std::string_view(out.body).substr(at, size);
            put(queue,
                {data(Type::H2CData, it->first, tag, static_cast<std::uint32_t>(at), bytes, at + size == end),
                 it->first,
                 at + size == out.body.size(),
                 {}});
        }
    }

    void complete(const QueuePtr &queue, const Completion &done) {
        const auto it = queue->out.find(done.cid);
        if (it == queue->out.end())
            throw Malformed(Fatal::HeaderField, "completion of no command");
        if (it->second.mail && queue == io_)
            return it->second.mail->put(done); // run() takes its data and ends it
        if (it->second.mail)
            it->second.mail->put(done);
        queue->out.erase(it);
    }

    NodeMapping mapping_;
    asio::any_io_executor executor_;
    core::Deadlines &deadlines_;
    SocketBudget &budget_;
    std::uint32_t block_bytes_, most_data_ = 4096;
    Micros patience_;
    QueuePtr admin_, io_, last_io_;
    bool up_ = false, connecting_ = false;
    core::Deadlines::Entry keep_alive_;
};

NodePort::NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, SocketBudget &budget,
                   const Settings &settings, std::uint32_t block_bytes)
    : executor_(std::move(executor)), deadlines_(deadlines), budget_(budget),
      connect_timeout_(settings.connect_timeout > 0 ? settings.connect_timeout : kDial),
      block_bytes_(block_bytes) {}

void NodePort::place(NodeId node, const tcp::endpoint &address, const NodeMapping &mapping) {
    auto &at = associations_[node];
    if (at && at->address == address)
        return;
    if (at)
        at->drop("it has moved");
    at = std::make_shared<Association>(executor_, deadlines_, budget_, address, mapping, block_bytes_,
                                       connect_timeout_);
}

void NodePort::forget(NodeId node) {
    const auto at = associations_.find(node);
    if (at == associations_.end())
        return;
    at->second->drop("it is gone");
    associations_.erase(at);
}

void NodePort::close_idle(NodeId node) {
    if (const auto at = associations_.find(node); at != associations_.end() && at->second->idle())
        at->second->drop(nullptr);
}

asio::awaitable<core::AttemptResult> NodePort::run(std::shared_ptr<core::Attempt> attempt) {
    core::AttemptResult result;
    const auto at = associations_.find(attempt->node);
    const core::Request &request = *attempt->request;
    std::uint64_t block = 0;
    const char *const last = request.data_key.data() + request.data_key.size();
    const bool named = std::from_chars(request.data_key.data(), last, block, 16).ptr == last;
    if (at == associations_.end() || !named || request.body.size() > block_bytes_) {
        result.status = Status::ConnectFailed; // nothing that this node could be asked
        co_return result;
    }
    const std::shared_ptr<Association> node = at->second;
    Mail mail(executor_);
    attempt->on_stop = [&mail] { mail.put(Stop{}); };

    // The association must stand.
    node->want(mail);
    Event event = co_await mail.take();
    if (!std::holds_alternative<Up>(event) || attempt->stop_reason) {
        attempt->on_stop = nullptr;
        node->forget(mail);
        result.status = attempt->status_when_interrupted(false);
        co_return result;
    }

    // One command. It may have run once the last byte that it needs is written: its data's, for a Write.
    Command command = Command::make(request.arrival.write ? op::kWrite : op::kRead, 0, node->nsid());
    command.set_dword(10, block);
    command.describe_data(static_cast<std::uint32_t>(block_bytes_ + kMetadata), false);
    std::string body;
    if (request.arrival.write) {
        body = request.body;
        body.resize(block_bytes_ + kMetadata, '\0');
        set<std::uint64_t>(body, block_bytes_, request.body.size());
    }
    const auto cid = node->issue(
        mail, command, std::move(body), [attempt] { return !attempt->stop_reason && attempt->may_write(); },
        [attempt] { attempt->on_written(); });
    if (!cid) {
        attempt->on_stop = nullptr;
        result.status = Status::Superseded; // more out than the queue holds
        co_return result;
    }
    event = co_await mail.take();
    attempt->on_stop = nullptr;
    if (const auto *done = std::get_if<Completion>(&event)) {
        result.status = read_status(done->status);
        if (Queue::Out *out = node->find(*cid)) {
            if (result.status == Status::Ok && !request.arrival.write) {
                const std::string &read = out->read;
                const std::uint64_t length =
                    read.size() == block_bytes_ + kMetadata ? get<std::uint64_t>(read, block_bytes_) : ~0ull;
                if (length <= block_bytes_)
                    result.value = read.substr(0, length);
                else
                    result.status = Status::Error;
            } else if (result.status == Status::Ok) {
                result.value = "OK";
            }
        }
        node->finished(*cid);
    } else if (std::holds_alternative<Stop>(event)) {
        const bool gated = !node->find(*cid) && !attempt->stop_reason;
        result.status = gated ? Status::Superseded : attempt->status_when_interrupted(node->was_whole(*cid));
        node->give_up(*cid);
    } else {
        result.status = attempt->status_when_interrupted(node->was_whole(*cid));
    }
    node->forget(mail);
    co_return result;
}

asio::awaitable<core::ProbeResult> NodePort::probe(NodeId id) {
    core::ProbeResult result;
    result.status = Status::ConnectFailed;
    const auto at = associations_.find(id);
    if (at == associations_.end())
        co_return result;
    const std::shared_ptr<Association> node = at->second;
    Mail mail(executor_);
    const auto limit = deadlines_.in(2 * connect_timeout_, [&mail] { mail.put(Stop{}); });
    node->want(mail);
    Event event = co_await mail.take();
    if (std::holds_alternative<Up>(event) && node->admin_command(Command::make(op::kKeepAlive, 0), &mail)) {
        event = co_await mail.take();
        result.status = std::holds_alternative<Completion>(event) ? Status::Ok
                        : std::holds_alternative<Stop>(event)     ? Status::Timeout
                                                                  : Status::Reset;
    }
    node->forget(mail);
    co_return result;
}

} // namespace marblewood::net::nvme
