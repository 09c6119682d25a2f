/// \file
/// Looks up ascending keys in a sorted container.
#ifndef HAWTHORNBEAM_LIB_CELL_SORTED_WALK_HPP
#define HAWTHORNBEAM_LIB_CELL_SORTED_WALK_HPP

#include <map>
#include <set>

namespace hawthornbeam::cell
{

/// Finds ascending keys in a std::map or std::set in one pass over it, which costs less
/// than a search for each key when most of them are present.
template <class Container>
class sorted_walk
{
public:
    using key_type = typename Container::key_type;
    using entry_type = typename Container::value_type;

    explicit sorted_walk(const Container& container)
        : next_(container.begin()), end_(container.end())
    {
    }

    /// Returns the entry with this key, or nullptr. No key may be lower than the one of
    /// the call before.
    const entry_type* find(const key_type& key)
    {
        while (next_ != end_ && key_of(*next_) < key)
            ++next_;
        return next_ != end_ && key_of(*next_) == key ? &*next_ : nullptr;
    }

private:
    static const key_type& key_of(const key_type& entry) { return entry; }
    template <class Value>
    static const key_type& key_of(const std::pair<const key_type, Value>& entry)
    {
        return entry.first;
    }

    typename Container::const_iterator next_;
    typename Container::const_iterator end_;
};

} // namespace hawthornbeam::cell

#endif
