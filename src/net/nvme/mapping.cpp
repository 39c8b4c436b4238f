#include "net/nvme/mapping.hpp"

#include <bit>
#include <charconv>

namespace marblewood::net::nvme {
namespace {

[[noreturn]] void throw_error(const std::string &what) {
    throw config::Error("field 'nvme." + what);
}

std::uint64_t need_hex(const Json::Value &row, const char *field) {
    const std::string text = config::need_text(row, field);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() != 16 || error != std::errc() || end != text.data() + text.size())
        throw_error(std::string("namespaces.") + field + "' is not of 16 hexadecimal digits");
    return value;
}
// Returns the index of the row called `name`. `field` is the field of the namespace that holds this name.
template <typename Rows> int index_of(const Rows &rows, const std::string &name, const char *field) {
    for (std::size_t n = 0; n < rows.size(); ++n)
        if (rows[n].name == name)
            return static_cast<int>(n);
    throw_error(std::string("namespaces.") + field + "' names '" + name + "', which is not in the settings");
}

Namespace read_namespace(const Json::Value &row, const Settings &settings) {
    Namespace ns;
    ns.volume = VolumeId{need_hex(row, "volume")};
    ns.plan = index_of(settings.plans, config::need_text(row, "plan"), "plan");
    ns.read_class = index_of(settings.classes, config::need_text(row, "read_class"), "read_class");
    ns.write_class = index_of(settings.classes, config::need_text(row, "write_class"), "write_class");
    ns.read_wait = config::time_or(row, "read_deadline_ms", settings.classes[ns.read_class].deadline);
    ns.write_wait = config::time_or(row, "write_deadline_ms", settings.classes[ns.write_class].deadline);
    if (ns.read_wait <= 0 || ns.write_wait <= 0)
        throw_error("namespaces.read_deadline_ms' is not above 0");
    // The shard is fixed by the configuration, because a read must go to the shard that an earlier write went
    // to.
    const std::int64_t shard = config::need_integer(row, "shard");
    if (shard < 0)
        throw_error("namespaces.shard' is below 0");
    ns.shard = ShardId{shard};
    ns.hosts = static_cast<int>(config::integer_or(row, "hosts", 1));
    ns.units = config::number_or(row, "units", 1);
    if (ns.hosts < 1 || !(ns.units > 0))
        throw_error("namespaces.hosts' and 'units' must be above 0");
    ns.first_piece = need_hex(row, "first_piece");
    const std::int64_t blocks = config::need_integer(row, "blocks");
    if (blocks < 1 || static_cast<std::uint64_t>(blocks) - 1 > ~ns.first_piece)
        throw_error("namespaces.blocks' is out of range");
    ns.blocks = static_cast<std::uint64_t>(blocks);
    return ns;
}

} // namespace

Mapping read_mapping(const Json::Value &nvme, const Settings &settings) {
    Mapping mapping;
    if (nvme.isNull())
        return mapping;
    mapping.listen = config::text_or(nvme, "listen", "");
    mapping.subsystem = config::text_or(nvme, "subsystem", "");
    if (!mapping.listen.empty() && mapping.subsystem.empty())
        throw_error("subsystem' is missing");
    mapping.block_bytes = static_cast<std::uint32_t>(config::integer_or(nvme, "block_bytes", 64 * 1024));
    if (!std::has_single_bit(mapping.block_bytes) || mapping.block_bytes < 4096 ||
        mapping.block_bytes > 64 * 1024)
        throw_error("block_bytes' is no power of two from 4096 to 65536");
    if (nvme.isMember("namespaces"))
        for (const Json::Value &row : nvme["namespaces"]) {
            const std::int64_t nsid = config::need_integer(row, "nsid");
            if (nsid < 1 || nsid > 0xfffffffe)
                throw_error("namespaces.nsid' is out of range");
            const Namespace ns = read_namespace(row, settings);
            for (const auto &[existing_nsid, existing] : mapping.namespaces)
                if (ns.first_piece <= existing.first_piece + (existing.blocks - 1) &&
                    existing.first_piece <= ns.first_piece + (ns.blocks - 1))
                    throw_error("namespaces.first_piece' makes two namespaces overlap");
            if (!mapping.namespaces.emplace(static_cast<std::uint32_t>(nsid), ns).second)
                throw_error("namespaces.nsid' is used twice");
        }
    if (nvme.isMember("nodes")) {
        if (!nvme["nodes"].isObject())
            throw_error("nodes' is not an object");
        for (const std::string &id : nvme["nodes"].getMemberNames()) {
            const Json::Value &row = nvme["nodes"][id];
            mapping.nodes[id] = {config::need_text(row, "subsystem"),
                                 static_cast<std::uint32_t>(config::integer_or(row, "nsid", 1))};
        }
    }
    return mapping;
}

} // namespace marblewood::net::nvme
