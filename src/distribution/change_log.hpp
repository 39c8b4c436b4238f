/// \file
/// The member list of a distributor, with the revision in which each member last changed. A caller that
/// holds an older revision gets the members that changed since, each in its latest state. No I/O and no
/// clock.
///
/// Guarantees:
/// - revision() never decreases. An update with a lower revision, or one that changes members without a
///   higher revision, is rejected and changes nothing.
/// - Memory: one row for each listed member, and one for each of the last `max_removed` removed members. A
///   caller whose list predates an older removal needs the complete list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marblewood::distribution {

using Revision = std::int64_t;

enum class Phase { Up, Draining, Removed };

/// One entry of a list: a storage node, or a document. Apart from the phase, the source's fields are passed
/// on as text without being interpreted.
struct Member {
    std::string id;
    std::string text;
    Phase phase = Phase::Up;
    std::int64_t shard = 0; ///< the shard that the member holds
};

/// A response of the source: all members, or those that changed since the requested revision.
struct Update {
    Revision revision = 0;
    bool complete = false;
    std::vector<Member> members;
};

enum class UpdateResult { Applied, Stale };

/// The entries that a caller needs to bring its list up to `revision`. The texts are valid until the log
/// changes.
struct Delta {
    struct Entry {
        std::string_view text;
        Phase phase;
    };
    Revision revision = 0; ///< of the receiver's list after it applies the entries
    bool complete = false;
    std::vector<Entry> entries;
    std::size_t bytes = 0; ///< the sum of entry_bytes() over all entries
};

/// The bytes that the encoded phase adds to an entry's text in a response, at most.
constexpr std::size_t kPhaseBytes = 22;
/// The bytes that an entry takes up in a response.
inline std::size_t entry_bytes(std::string_view text) {
    return text.size() + kPhaseBytes;
}

class ChangeLog {
public:
    explicit ChangeLog(std::size_t max_removed) : max_removed_(max_removed) {}

    UpdateResult apply(const Update &update);

    bool empty() const { return revision_ < 0; }
    Revision revision() const { return revision_; }
    /// The oldest revision since which all changes are known. A caller with an older list needs the complete
    /// list.
    Revision oldest() const { return oldest_; }
    bool covers(Revision since) const { return since >= oldest_; }
    std::size_t size() const { return listed_count_; }
    std::size_t complete_list_bytes() const { return complete_list_bytes_; }

    /// All listed members.
    Delta complete_list() const;
    /// The members that changed after `since`, which the log must cover. Adds whole revisions, at least one,
    /// as long as their entries fit into `max_bytes`. Urgent entries (members that are draining, were removed
    /// or moved to another shard) of later revisions are added regardless of their size, unless they changed
    /// at or before `urgent_sent_revision`.
    Delta changes(Revision since, std::size_t max_bytes, Revision urgent_sent_revision) const;
    /// Only the urgent entries that changed after both `since` and `urgent_sent_revision`. They leave the
    /// receiver's revision at `since`.
    Delta urgent_changes(Revision since, Revision urgent_sent_revision) const;
    bool has_urgent_after(Revision since) const {
        return !urgent_by_revision_.empty() && urgent_by_revision_.rbegin()->first > since;
    }

private:
    struct Row {
        std::string text;
        Phase phase = Phase::Up;
        std::int64_t shard = 0;
        bool urgent = false;
        Revision changed_revision = 0;
    };
    using Index = std::set<std::pair<Revision, std::string>>;

    static void add(Delta &delta, const Row &row);
    void put(const Member &member, Revision revision);
    void update_indexes(const std::string &id, const Row &row, bool present);
    void remove_unlisted(const Update &update);
    void drop_oldest_removals();

    std::size_t max_removed_;
    Revision revision_ = -1, oldest_ = 0;
    std::size_t listed_count_ = 0, complete_list_bytes_ = 0;
    std::map<std::string, Row> rows_;
    // The keys of rows_, ordered by the revision in which each row last changed.
    Index by_revision_;
    Index urgent_by_revision_;
    Index removed_by_revision_;
};

} // namespace marblewood::distribution
