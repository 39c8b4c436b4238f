#include "net/nvme/mapping.hpp"

#include <bit>
#include <charconv>

namespace marblewood::net::nvme {
namespace {

[[noreturn]] void wrong(const std::string &what) {
    throw config::Error("field 'nvme." + what);
}

std::uint64_t hex(const Json::Value &row, const char *field) {
    const std::string text = config::need_text(row, field);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() != 16 || error != std::errc() || end != text.data() + text.size())
        wrong(std::string("namespaces.") + field + "' is not of 16 hexadecimal digits");
    return value;
}
template <typename Rows> int named(const Rows &rows, const std::string &name, const char *field) {
    for (std::size_t n = 0; n < rows.size(); ++n)
        if (rows[n].name == name)
            return static_cast<int>(n);
    wrong(std::string("namespaces.") + field + "' names '" + name + "', which the settings do not");
}

Namespace read_namespace(const Json::Value &row, const Settings &settings) {
    Namespace ns;
    ns.volume = VolumeId{hex(row, "volume")};
    ns.plan = named(settings.plans, config::need_text(row, "plan"), "plan");
    ns.read_class = named(settings.classes, config::need_text(row, "read_class"), "read_class");
    ns.write_class = named(settings.classes, config::need_text(row, "write_class"), "write_class");
    ns.read_wait = config::time_or(row, "read_deadline_ms", settings.classes[ns.read_class].deadline);
    ns.write_wait = config::time_or(row, "write_deadline_ms", settings.classes[ns.write_class].deadline);
    if (ns.read_wait <= 0 || ns.write_wait <= 0)
        wrong("namespaces.read_deadline_ms' is not above 0");
    const std::int64_t shard =
        config::need_integer(row, "shard"); // a later read must know where a write went
    if (shard < 0)
        wrong("namespaces.shard' is below 0");
    ns.shard = ShardId{shard};
    ns.hosts = static_cast<int>(config::integer_or(row, "hosts", 1));
    ns.units = config::number_or(row, "units", 1);
    if (ns.hosts < 1 || !(ns.units > 0))
        wrong("namespaces.hosts' and 'units' must be above 0");
    ns.first_piece = hex(row, "first_piece");
    const std::int64_t blocks = config::need_integer(row, "blocks");
    if (blocks < 1 || static_cast<std::uint64_t>(blocks) - 1 > ~ns.first_piece)
        wrong("namespaces.blocks' is out of range");
    ns.blocks = static_cast<std::uint64_t>(blocks);
    return ns;
}

} // namespace

Mapping read_mapping(const Json::Value &nvme, const Settings &settings) {
    Mapping m;
    if (nvme.isNull())
        return m;
    m.listen = config::text_or(nvme, "listen", "");
    m.subsystem = config::text_or(nvme, "subsystem", "");
    if (!m.listen.empty() && m.subsystem.empty())
        wrong("subsystem' is missing");
    m.block_bytes = static_cast<std::uint32_t>(config::integer_or(nvme, "block_bytes", 64 * 1024));
    if (!std::has_single_bit(m.block_bytes) || m.block_bytes < 4096 || m.block_bytes > 64 * 1024)
        wrong("block_bytes' is no power of two from 4096 to 65536");
    if (nvme.isMember("namespaces"))
        for (const Json::Value &row : nvme["namespaces"]) {
            const std::int64_t nsid = config::need_integer(row, "nsid");
            if (nsid < 1 || nsid > 0xfffffffe)
                wrong("namespaces.nsid' is out of range");
            const Namespace ns = read_namespace(row, settings);
            for (const auto &[other, o] : m.namespaces)
                if (ns.first_piece <= o.first_piece + (o.blocks - 1) &&
                    o.first_piece <= ns.first_piece + (ns.blocks - 1))
                    wrong("namespaces.first_piece' makes two namespaces overlap");
            if (!m.namespaces.emplace(static_cast<std::uint32_t>(nsid), ns).second)
                wrong("namespaces.nsid' stands twice");
        }
    if (nvme.isMember("nodes")) {
        if (!nvme["nodes"].isObject())
            wrong("nodes' is not an object");
        for (const std::string &id : nvme["nodes"].getMemberNames()) {
            const Json::Value &row = nvme["nodes"][id];
            m.nodes[id] = {config::need_text(row, "subsystem"),
                           static_cast<std::uint32_t>(config::integer_or(row, "nsid", 1))};
        }
    }
    return m;
}

} // namespace marblewood::net::nvme
