#include "net/nvme/node_port.hpp"

#include "net/nvme/association.hpp"

#include <charconv>

namespace marblewood::net::nvme {
namespace {

constexpr Micros kDefaultConnectTimeout = 250'000;

} // namespace

Status read_status(const Status16 &s) {
    if (s.ok())
        return Status::Ok;
    if (s.code == status::kNotReady || s.code == status::kPathInaccessible ||
        s.code == status::kPathTransition)
        return Status::Rejected; // the node rejected the command without running it
    return Status::Error;
}

NodePort::NodePort(asio::any_io_executor executor, core::Deadlines &deadlines, core::MemoryBudget &memory,
                   SocketBudget &budget, const Settings &settings, std::uint32_t block_bytes)
    : executor_(std::move(executor)), deadlines_(deadlines), memory_(memory), budget_(budget),
      connect_timeout_(settings.connect_timeout > 0 ? settings.connect_timeout : kDefaultConnectTimeout),
      block_bytes_(block_bytes) {}

void NodePort::place(NodeId node, const tcp::endpoint &address, const NodeMapping &mapping) {
    auto &at = associations_[node];
    if (at && at->address == address)
        return;
    if (at)
        at->close_connections("address changed");
    at = std::make_shared<Association>(executor_, deadlines_, memory_, budget_, address, mapping,
                                       block_bytes_, connect_timeout_);
}

void NodePort::forget(NodeId node) {
    const auto at = associations_.find(node);
    if (at == associations_.end())
        return;
    at->second->close_connections("node removed");
    associations_.erase(at);
}

void NodePort::close_idle(NodeId node) {
    if (const auto at = associations_.find(node); at != associations_.end() && at->second->idle())
        at->second->close_connections(nullptr);
}

asio::awaitable<core::AttemptResult> NodePort::run(std::shared_ptr<core::Attempt> attempt) {
    core::AttemptResult result;
    const auto at = associations_.find(attempt->node);
    const core::Request &request = *attempt->request;
    std::uint64_t block = 0;
    const char *const last = request.data_key.data() + request.data_key.size();
    const bool valid_key = std::from_chars(request.data_key.data(), last, block, 16).ptr == last;
    if (at == associations_.end() || !valid_key || request.body.size() > block_bytes_) {
        result.status = Status::ConnectFailed; // the request cannot be sent to this node
        co_return result;
    }
    const std::shared_ptr<Association> node = at->second;
    EventMailbox mailbox(executor_);
    attempt->on_stop = [&mailbox] { mailbox.put(Stopped{}); };

    // Wait for the association.
    node->notify_when_ready(mailbox);
    Event event = co_await mailbox.take();
    if (!std::holds_alternative<AssociationReady>(event) || attempt->stop_reason || !node->is_ready()) {
        attempt->on_stop = nullptr;
        node->forget(mailbox);
        result.status = attempt->status_when_interrupted(false);
        co_return result;
    }

    // Send one command. It may have run once it is fully written, including the data of a Write.
    Command command = Command::make(request.arrival.write ? op::kWrite : op::kRead, 0, node->nsid());
    command.set_dword(10, block);
    command.describe_data(static_cast<std::uint32_t>(block_bytes_ + kMetadataBytes), false);
    std::string body;
    if (request.arrival.write) {
        body = request.body;
        body.resize(block_bytes_ + kMetadataBytes, '\0');
        set<std::uint64_t>(body, block_bytes_, request.body.size());
    }
    const CommandPtr pending = node->issue(
        mailbox, command, std::move(body),
        [attempt] { return !attempt->stop_reason && attempt->may_write(); },
        [attempt] { attempt->on_written(); });
    if (!pending) {
        attempt->on_stop = nullptr;
        result.status = Status::Superseded; // the queue is full
        co_return result;
    }
    event = co_await mailbox.take();
    attempt->on_stop = nullptr;
    if (auto *completed = std::get_if<CommandCompleted>(&event)) {
        read_completion(std::move(*completed), request.arrival.write, result);
    } else if (std::holds_alternative<WriteDeclined>(event)) {
        result.status = Status::Superseded;
    } else if (std::holds_alternative<Stopped>(event)) {
        result.status = attempt->status_when_interrupted(pending->can_run_if_abandoned());
        node->abandon(pending);
    } else {
        result.status = attempt->status_when_interrupted(pending->can_have_run());
    }
    node->forget(mailbox);
    co_return result;
}

// Converts the completion of an attempt's command. A block that lacks a part, or whose metadata is not a
// length within it, is an error.
void NodePort::read_completion(CommandCompleted &&completed, bool write, core::AttemptResult &result) const {
    result.status = read_status(completed.status);
    if (result.status != Status::Ok)
        return;
    if (write) {
        result.value = "OK";
        return;
    }
    const bool whole = completed.data.size() == block_bytes_ + kMetadataBytes;
    const std::uint64_t length = whole ? get<std::uint64_t>(completed.data, block_bytes_) : 0;
    if (!whole || length > block_bytes_) {
        result.status = Status::Error;
        return;
    }
    completed.data.resize(length);
    result.value = std::move(completed.data);
}

asio::awaitable<core::ProbeResult> NodePort::probe(NodeId id) {
    core::ProbeResult result;
    result.status = Status::ConnectFailed;
    const auto at = associations_.find(id);
    if (at == associations_.end())
        co_return result;
    const std::shared_ptr<Association> node = at->second;
    EventMailbox mailbox(executor_);
    const auto timer = deadlines_.in(2 * connect_timeout_, [&mailbox] { mailbox.put(Stopped{}); });
    node->notify_when_ready(mailbox);
    Event event = co_await mailbox.take();
    if (std::holds_alternative<AssociationReady>(event) &&
        node->send_admin_command(Command::make(op::kKeepAlive, 0), &mailbox)) {
        event = co_await mailbox.take();
        result.status = std::holds_alternative<CommandCompleted>(event) ? Status::Ok
                        : std::holds_alternative<Stopped>(event)        ? Status::Timeout
                                                                        : Status::Reset;
    }
    node->forget(mailbox);
    co_return result;
}

} // namespace marblewood::net::nvme
