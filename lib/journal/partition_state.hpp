/// \file
/// Jobs of a partition, reconstructed from its snapshot and records.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_PARTITION_STATE_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_PARTITION_STATE_HPP

#include "stored_form.hpp"

#include <map>

namespace hawthornbeam
{

/// Jobs of a partition by id. Records of unknown jobs are ignored: they belong to ended
/// jobs that were dropped after their retention time.
class partition_state
{
public:
    void apply(const journal_form::timed_record& record);
    /// Drops jobs that ended before \p limit.
    void drop_ended(wall_time limit);
    std::string encode() const;
    std::vector<journaled_job> jobs() const;

    /// Reads the values that \p head references from \p entries, which are ordered by
    /// key. Fails with not_found when a referenced key is absent and with invalid_input
    /// when a value is damaged.
    static result<partition_state> load(const std::string& prefix,
                                        const journal_form::stored_head& head,
                                        const std::vector<kv_entry>& entries);

private:
    result<bool> apply_all(const std::vector<std::string>& records,
                           const std::string& key);
    void insert(journal_form::stored_job job);

    std::map<job_id, journal_form::stored_job> jobs_;
    std::multimap<wall_time, job_id> by_end_;
};

/// Returns the entry with key \p key, or nullptr; \p entries are ordered by key.
const kv_entry* find_entry(const std::vector<kv_entry>& entries, const std::string& key);

} // namespace hawthornbeam

#endif
