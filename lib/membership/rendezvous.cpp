/// \file
/// Rendezvous hashing with XXH3 scores.
#include "hawthornbeam/membership/rendezvous.hpp"

#include <algorithm>
#include <xxhash.h>

namespace hawthornbeam
{

namespace
{

struct ranked_instance
{
    std::uint64_t score;
    instance_id id;

    /// Orders by descending score; ties are broken by id.
    friend bool operator<(const ranked_instance& a, const ranked_instance& b)
    {
        return a.score != b.score ? a.score > b.score : a.id < b.id;
    }
};

std::uint64_t hash_key(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

ranked_instance rank(std::uint64_t key_hash, const instance_id& id)
{
    const std::string& text = id.value();
    return {XXH3_64bits_withSeed(text.data(), text.size(), key_hash), id};
}

} // namespace

instance_id rendezvous_owner(std::string_view key,
                             const std::vector<instance_id>& candidates)
{
    if (candidates.empty())
        return instance_id();
    const std::uint64_t key_hash = hash_key(key);
    ranked_instance best = rank(key_hash, candidates.front());
    for (const instance_id& id : candidates)
    {
        ranked_instance next = rank(key_hash, id);
        if (next < best)
            best = std::move(next);
    }
    return best.id;
}

std::vector<instance_id> rendezvous_order(std::string_view key,
                                          std::vector<instance_id> candidates)
{
    const std::uint64_t key_hash = hash_key(key);
    std::vector<ranked_instance> ranked;
    ranked.reserve(candidates.size());
    for (const instance_id& id : candidates)
        ranked.push_back(rank(key_hash, id));
    std::sort(ranked.begin(), ranked.end());
    for (std::size_t i = 0; i < ranked.size(); ++i)
        candidates[i] = std::move(ranked[i].id);
    return candidates;
}

} // namespace hawthornbeam
