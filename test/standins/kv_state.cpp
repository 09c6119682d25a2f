#include "test/standins/kv_state.hpp"

namespace hawthornbeam::standins
{

namespace
{

constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;

} // namespace

std::optional<kv_entry> kv_state::read(const std::string& key) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return std::nullopt;
    return found->second;
}

std::vector<kv_entry> kv_state::list(const std::string& prefix) const
{
    std::vector<kv_entry> matching;
    for (auto entry = entries_.lower_bound(prefix);
         entry != entries_.end() && entry->first.starts_with(prefix); ++entry)
        matching.push_back(entry->second);
    return matching;
}

result<kv_revision> kv_state::write(const std::string& key, std::string value,
                                    kv_revision expected)
{
    if (value.size() > max_value_bytes)
        return make_error(error_code::limit_exceeded, "the value is larger than 1 MiB");
    const std::optional<kv_entry> current = read(key);
    if ((current ? current->revision : kv_revision()) != expected)
        return make_error(error_code::conflict, "the revision of " + key + " differs");
    newest_ = newest_.next();
    entries_[key] = kv_entry{key, std::move(value), newest_};
    return newest_;
}

result<bool> kv_state::remove(const std::string& key, kv_revision expected)
{
    const std::optional<kv_entry> current = read(key);
    if (!current || current->revision != expected)
        return make_error(error_code::conflict, "the revision of " + key + " differs");
    newest_ = newest_.next();
    entries_.erase(key);
    return true;
}

kv_changes kv_state::changes(const std::string& prefix, kv_revision after) const
{
    kv_changes found;
    found.seen = newest_;
    found.skipped = after > newest_;
    for (const kv_entry& entry : list(prefix))
        if (entry.revision > after)
            found.changed.push_back(entry);
    return found;
}

} // namespace hawthornbeam::standins
