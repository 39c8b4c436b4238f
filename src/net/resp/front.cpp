#include "net/resp/front.hpp"

#include "core/log.hpp"
#include "net/session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <cmath>
#include <deque>
#include <fmt/format.h>

namespace marblewood::net::resp {
namespace {

constexpr int kMostUseless = 32;       // commands of no use in a row, after which the connection ends
constexpr Micros kMayIdle = 2'000'000; // us; clients open another connection when they need one

template <typename T> T number(std::string_view text, const char *name, int base = 10) {
    T value{};
    const char *const last = text.data() + text.size();
    const auto [end, error] = [&] {
        if constexpr (std::is_floating_point_v<T>)
            return std::from_chars(text.data(), last, value);
        else
            return std::from_chars(text.data(), last, value, base);
    }();
    if (text.empty() || error != std::errc() || end != last)
        throw Malformed(fmt::format("invalid {}", name));
    return value;
}
std::uint64_t hex16(std::string_view text, const char *name) {
    if (text.size() != 16)
        throw Malformed(fmt::format("invalid {}", name));
    return number<std::uint64_t>(text, name, 16);
}
template <typename Rows> int named(const Rows &rows, std::string_view name, const char *what) {
    for (std::size_t n = 0; n < rows.size(); ++n)
        if (rows[n].name == name)
            return static_cast<int>(n);
    throw Malformed(fmt::format("unknown {}", what));
}

std::string spell(const core::Outcome &outcome) {
    std::string out;
    if (outcome.stream)
        out = fmt::format("${}\r\n", outcome.stream->length);
    else if (outcome.kind == core::Outcome::Kind::Served)
        put_bulk(out, outcome.value);
    else if (outcome.kind == core::Outcome::Kind::Failed)
        out = "-ERR failed\r\n";
    else if (outcome.retry_after > 0)
        out = fmt::format("-BUSY {}\r\n", (outcome.retry_after + 999) / 1000);
    else
        out = "-BUSY\r\n";
    return out;
}

std::string upper(std::string text) {
    for (char &c : text)
        if (c >= 'a' && c <= 'z')
            c = static_cast<char>(c - 'a' + 'A');
    return text;
}

// Answer callbacks may outlive the connection, so they hold it weakly.
class RespSession : public Session {
public:
    RespSession(Client &client, core::FrontEndServices services, OpenIds &open)
        : Session(client, services.deadlines, services.memory), services_(std::move(services)), open_(open) {}

private:
    struct Slot {
        std::string bytes;
        bool ready = false;
        core::RequestHandler *request_handler = nullptr;
        RequestId id{};
        std::string name;                     // the client's id
        std::shared_ptr<core::Stream> stream; // where the rest of its answer comes from
    };

    void take_all() override {
        std::string_view bytes = in_;
        try {
            while (auto value = over_ ? std::nullopt : reader_.take(bytes)) {
                command(std::move(*value));
                since_ = deadlines_.clock.now(); // what stands behind has come by now at the latest
            }
            in_.erase(0, in_.size() - bytes.size());
        } catch (const Malformed &error) { // where the next command begins cannot be known any more
            over_ = true;
            client_.note(CloseReason::ProtocolError);
            spoilt(error.what());
        }
    }
    bool begun() const override { return !in_.empty() || !reader_.is_between_messages(); }
    std::size_t held() const override { return in_.size() + reader_.incomplete_bytes() + ready_; }
    Micros may_idle() const override { return kMayIdle; }
    void spoilt(const char *why) override {
        std::string().swap(in_); // nothing of it is kept while the client takes its leave
        reader_ = Reader();
        say(fmt::format("-ERR Protocol error: {}\r\n", why));
    }
    std::optional<std::string> unfinished() const override { return reader_.unfinished() + in_; }
    const char *front() const override { return "resp"; }
    void turn_away(const char *why) { // understood, but of no use
        wrong_ = true;
        if (++useless_ >= kMostUseless)
            throw Malformed("too much of no use");
        say(fmt::format("-ERR {}\r\n", why));
    }

    void command(Value &&value) {
        if (value.kind != Value::Kind::Array || value.null || value.elements.empty())
            throw Malformed("expected an array of bulk strings");
        for (const Value &word : value.elements)
            if (word.kind != Value::Kind::Bulk || word.null)
                throw Malformed("expected an array of bulk strings");
        const std::string name = upper(value.elements.front().text);
        if (name == "PING")
            return say(services_.quiesced ? "-ERR draining\r\n" : "+PONG\r\n");
        if (name == "CLIENT" || name == "SELECT")
            return say("+OK\r\n");
        if (name == "QUIT") {
            over_ = true;
            client_.note(CloseReason::Quit);
            return say("+OK\r\n");
        }
        if (name != "OBJ.GET" && name != "OBJ.PUT")
            return turn_away("unknown command");
        try {
            ask(read_request(std::move(value), services_.settings));
        } catch (const Malformed &error) {
            const std::uint64_t count = ++services_.metrics.malformed_requests;
            if ((count & (count - 1)) == 0) // at 1, 2, 4, ...: what it is, without a line for each
                core::log("a request turned away ({} so far): {}", count, error.what());
            turn_away(error.what());
        }
    }

    void ask(core::Request &&read) {
        // Its answers could not be told from the other's, and a node takes one for a repeat of the other.
        if (!open_.insert(read.id).second)
            throw Malformed("the id of an open request");
        read.refuse_immediately = client_.refuses(deadlines_.clock.now());
        client_.mark_asked();
        if (client_.use().closing)
            ++client_.asked_since;
        useless_ = 0;
        read.connection_id = client_.id;
        read.received_at = deadlines_.clock.now(); // its last byte: however slowly it was written
        auto request = std::make_shared<const core::Request>(std::move(read));
        core::RequestHandler &request_handler = services_.request_handler(*request);
        const std::uint64_t number = slot();
        slots_.back().request_handler = &request_handler;
        slots_.back().name = request->id;
        const std::weak_ptr<Session> weak = weak_from_this();
        const RequestId id =
            request_handler.submit(std::move(request), [this, weak, number](const core::Outcome &outcome) {
                const auto self = weak.lock();
                if (self)
                    answer(number, spell(outcome), outcome.stream);
                else if (outcome.stream)
                    outcome.stream->abandon();
            });
        if (number >= first_)
            slots_[number - first_].id = id;
    }

    std::uint64_t slot() {
        slots_.push_back({});
        client_.owe_answer();
        return first_ + slots_.size() - 1;
    }
    void say(std::string bytes) { answer(slot(), std::move(bytes)); }

    void answer(std::uint64_t number, std::string bytes, std::shared_ptr<core::Stream> stream = nullptr) {
        if (gone())
            return stream ? stream->abandon() : void();
        Slot &slot = slots_[number - first_];
        slot.bytes = std::move(bytes);
        slot.ready = true;
        slot.stream = std::move(stream);
        ready_ += slot.bytes.size();
        if (slot.request_handler)
            open_.erase(slot.name);
        if (!streaming_)
            flush();
    }

    // Sends what is ready, in the order asked, up to a long value.
    void flush() {
        std::string out;
        std::size_t answers = 0;
        std::shared_ptr<core::Stream> stream;
        while (!stream && !slots_.empty() && slots_.front().ready) {
            out += slots_.front().bytes;
            ready_ -= slots_.front().bytes.size();
            stream = slots_.front().stream;
            if (!stream)
                slots_.pop_front(), ++first_, ++answers;
        }
        if (!out.empty())
            send(out, answers);
        if (!stream)
            return;
        streaming_ = true;
        asio::co_spawn(client_.socket.get_executor(), pass_on(shared_from_this(), std::move(stream)),
                       asio::detached);
    }

    // A long value, as it comes and as the client reads it. Broken off, the client must be able to tell.
    asio::awaitable<void> pass_on([[maybe_unused]] std::shared_ptr<Session> self,
                                  std::shared_ptr<core::Stream> stream) {
        for (;;) {
            std::string piece = co_await stream->take();
            if (gone() || piece.empty())
                break;
            send(piece, 0);
            co_await flushed();
        }
        if (gone())
            co_return stream->abandon();
        if (!stream->is_complete())
            co_return client_.close(CloseReason::BrokenValue);
        streaming_ = false;
        slots_.pop_front(), ++first_;
        send("\r\n", 1);
        flush();
    }

    void left() override {
        for (const Slot &slot : slots_)
            if (slot.request_handler && (!slot.ready || slot.stream)) {
                if (!slot.ready)
                    open_.erase(slot.name);
                slot.request_handler->client_disconnected(slot.id);
            }
    }

    void answer_now() override {
        std::vector<std::pair<core::RequestHandler *, RequestId>>
            open; // answers may come while they are gone through
        for (const Slot &slot : slots_)
            if (slot.request_handler && !slot.ready)
                open.emplace_back(slot.request_handler, slot.id);
        for (const auto &[request_handler, id] : open)
            request_handler->answer_now(id);
    }
    bool passing_on() const override { return streaming_; }

    core::FrontEndServices services_;
    OpenIds &open_;
    Reader reader_;
    int useless_ = 0;       // commands of no use since the last request
    std::size_t ready_ = 0; // bytes of answers that wait for those before them
    std::deque<Slot> slots_;
    std::uint64_t first_ = 0; // the number of the first slot
    bool streaming_ = false;  // its answer is being passed on
};

} // namespace

asio::awaitable<void> serve(Client &client, core::FrontEndServices services, OpenIds &open) {
    const auto session = std::make_shared<RespSession>(client, std::move(services), open);
    co_await session->run();
}

core::Request read_request(Value &&command, const Settings &settings) {
    std::vector<Value> &words = command.elements;
    const bool write = upper(words[0].text) == "OBJ.PUT";
    if (words.size() != (write ? 5u : 4u))
        throw Malformed("wrong number of arguments");
    core::Request r;
    RequestArrived &f = r.arrival;
    f.write = write;
    f.key = DataKey{hex16(words[1].text, "piece")};
    r.data_key = std::move(words[1].text);
    r.id = std::move(words[2].text);
    if (r.id.empty() || r.id.size() > 64)
        throw Malformed("invalid id");
    if (write)
        r.body = std::move(words[4].text);
    f.cls = f.plan = -1;
    for (std::string_view list = words[3].text; !list.empty();) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos)
            throw Malformed("invalid list of names and values");
        const std::string_view name = item.substr(0, equals), value = item.substr(equals + 1);
        if (name == "c")
            f.cls = named(settings.classes, value, "class");
        else if (name == "t")
            f.plan = named(settings.plans, value, "plan");
        else if (name == "d") {
            const double ms = number<double>(value, "d");
            if (!(ms >= 0 && ms < 1e9))
                throw Malformed("invalid d");
            r.timeout = std::llround(ms * 1000);
        } else if (name == "k")
            r.idempotency_key = value;
        else if (name == "r")
            f.retry = value == "1";
        else if (name == "volume")
            f.volume = VolumeId{hex16(value, "volume")};
        else if (name == "units") {
            f.units = number<double>(value, "units");
            if (!(f.units > 0 && f.units <= 1e6))
                throw Malformed("invalid units");
        } else if (name == "shard") {
            if (const auto shard = number<std::int64_t>(value, "shard"); shard >= 0)
                f.shard = ShardId{shard};
        } else if (name == "hosts") {
            f.hosts = number<int>(value, "hosts");
            if (f.hosts < 1 || f.hosts > 1'000'000)
                throw Malformed("invalid hosts");
        } else
            r.forwarded_fields.emplace_back(name, value);
    }
    if (f.cls < 0 || f.plan < 0 || r.timeout <= 0)
        throw Malformed("c, t and d are needed");
    return r;
}

} // namespace marblewood::net::resp
