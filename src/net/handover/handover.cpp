#include "net/handover/handover.hpp"

#include "config/decode.hpp"
#include "core/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <sys/socket.h>
#include <sys/time.h>

namespace marblewood::net::handover {
namespace {

// What a packet is, by its first byte: the wish to take over; a part of the state, its last part, with the
// sockets; a client's connection. From a successor: a node that an operator took out, or put back; clients to
// be sent away, or taken again.
constexpr char kTake = 'T', kPart = 'P', kState = 'S', kClient = 'C', kCordon = 'D', kUncordon = 'U';
constexpr char kQuiesce = 'Q', kResume = 'R';
constexpr std::size_t kMostState = std::size_t{16} << 20;
constexpr Micros kAsk = 500'000; // us for a caller to say what it wants
// For each part of the state. A predecessor that is short of processor time answers late, and whoever gave it
// up would end: the addresses are still held. It serves on meanwhile, so waiting costs no request.
constexpr timeval kAnswer{5, 0};

std::optional<Passed> read_client(Packet &packet) {
    Passed passed;
    int asked = 0, read = 0;
    long long since = 0;
    char front[16] = {};
    if (packet.descriptors.size() != 1 || packet.bytes.front() != kClient ||
        std::sscanf(packet.bytes.c_str() + 1, "%15s %d %lld%n", front, &asked, &since, &read) != 3 ||
        packet.bytes.size() < static_cast<std::size_t>(read) + 2)
        return std::nullopt;
    passed.front = front;
    passed.asked = asked != 0;
    passed.since = since;
    passed.bytes = packet.bytes.substr(static_cast<std::size_t>(read) + 2);
    passed.descriptor = std::move(packet.descriptors.front());
    return passed;
}

} // namespace

std::optional<Inheritance> inherit(const std::string &path) {
    Descriptor fd(connect_to(path));
    if (fd.get() < 0)
        return std::nullopt;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &kAnswer, sizeof kAnswer);
    ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &kAnswer, sizeof kAnswer);
    if (!ours(fd.get()) || !send_now(fd.get(), {std::string(1, kTake), {}}))
        return std::nullopt;
    std::string text;
    Inheritance all;
    try {
        while (auto packet = receive_now(fd.get())) {
            const char kind = packet->bytes.front();
            text.append(packet->bytes, 1);
            if (text.size() > kMostState || (kind != kPart && kind != kState))
                break;
            if (kind == kPart)
                continue;
            all.state = config::parse(text);
            const Json::Value &names = config::need(all.state, "sockets");
            if (!names.isArray() || names.size() != packet->descriptors.size())
                break;
            for (Json::ArrayIndex n = 0; n < names.size(); ++n)
                all.sockets[names[n].asString()] = std::move(packet->descriptors[n]);
            all.channel = std::move(fd);
            return all;
        }
        core::log("handover: the predecessor's answer can't be used");
    } catch (const std::exception &error) {
        core::log("handover: {}", error.what());
    }
    return std::nullopt;
}

Handover::Handover(asio::io_context &io, core::Deadlines &deadlines, std::string path, Program program)
    : io_(io), deadlines_(deadlines), path_(std::move(path)), program_(std::move(program)) {
    listen();
}

void Handover::listen() {
    const int fd = listen_at(path_);
    if (fd < 0)
        return core::log("handover: can't listen at {}", path_);
    listener_.emplace(io_, fd);
    listener_->non_blocking(true);
    asio::co_spawn(io_, await_successor(), asio::detached);
}

asio::awaitable<void> Handover::await_successor() {
    while (listener_ && !successor_) {
        boost::system::error_code error;
        co_await listener_->async_wait(asio::posix::descriptor_base::wait_read,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        Descriptor fd(::accept4(listener_->native_handle(), nullptr, nullptr, SOCK_CLOEXEC));
        if (fd.get() < 0 || !ours(fd.get()))
            continue;
        const bool served = co_await serve(std::make_shared<Channel>(io_.get_executor(), std::move(fd)));
        if (served)
            co_return;
    }
}

asio::awaitable<bool> Handover::serve(std::shared_ptr<Channel> successor) {
    {
        const auto limit = deadlines_.in(kAsk, [&] { successor->close(); });
        const auto wish = co_await successor->receive();
        if (!wish || wish->bytes != std::string(1, kTake))
            co_return false;
    }
    successor_ = successor;
    listener_.reset(); // the successor listens there from now on
    Inheritance all = program_.yield();
    Packet last{{}, {}};
    for (auto &[name, fd] : all.sockets) {
        all.state["sockets"].append(name);
        last.descriptors.push_back(std::move(fd));
    }
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    const std::string text = Json::writeString(compact, all.state);
    std::size_t at = 0;
    for (; text.size() - at >= kMostPacket; at += kMostPacket - 1)
        successor->send({kPart + text.substr(at, kMostPacket - 1), {}});
    last.bytes = kState + text.substr(at);
    successor->send(std::move(last));
    core::log("handed over to a successor");
    program_.pass();
    while (const auto order = co_await successor->receive())
        hear(*order); // this ends with it
    successor_ = nullptr;
    core::log("the successor has gone: serving again");
    listen();
    program_.recover();
    for (Packet &packet : successor->unsent()) // those did not go
        if (auto passed = read_client(packet))
            program_.adopt(std::move(*passed));
    co_return true;
}

void Handover::hear(const Packet &order) {
    const char kind = order.bytes.front();
    if (kind == kCordon || kind == kUncordon)
        program_.cordon(order.bytes.substr(1), kind == kCordon);
    if (kind == kQuiesce || kind == kResume)
        program_.quiesce(kind == kQuiesce);
}

void Handover::tell_predecessor(const std::string &id, bool out) {
    if (predecessor_)
        predecessor_->send({(out ? kCordon : kUncordon) + id, {}});
}

void Handover::tell_predecessor_quiesce(bool on) {
    if (predecessor_)
        predecessor_->send({std::string(1, on ? kQuiesce : kResume), {}});
}

void Handover::client(Passed passed) {
    if (!successor_)
        return;
    Packet packet;
    packet.bytes =
        fmt::format("{}{} {:d} {} ", kClient, passed.front, passed.asked, passed.since) + passed.bytes;
    packet.descriptors.push_back(std::move(passed.descriptor));
    successor_->send(std::move(packet));
}

void Handover::follow(Descriptor predecessor) {
    predecessor_ = std::make_shared<Channel>(io_.get_executor(), std::move(predecessor));
    asio::co_spawn(io_, take_clients(predecessor_), asio::detached);
}

asio::awaitable<void> Handover::take_clients(std::shared_ptr<Channel> predecessor) {
    while (auto packet = co_await predecessor->receive())
        if (auto passed = read_client(*packet))
            program_.adopt(std::move(*passed));
    core::log("the predecessor has gone");
    predecessor_ = nullptr;
    program_.alone();
}

} // namespace marblewood::net::handover
