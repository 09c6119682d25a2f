/// \file
/// TOML documents as a tree with line numbers, and a checked reader for its tables.
#ifndef HAWTHORNBEAM_SUPPORT_TOML_TREE_HPP
#define HAWTHORNBEAM_SUPPORT_TOML_TREE_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/result.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam
{

struct toml_member;

/// A value of a TOML document. Only the members for its kind are set.
struct toml_node
{
    enum class kind
    {
        text,
        integer,
        number,
        boolean,
        time,
        array,
        table
    };
    kind what = kind::table;
    int line = 0; ///< Counted from 1.
    std::string text;
    std::int64_t integer = 0;
    double number = 0;
    bool boolean = false;
    std::vector<toml_node> items;     ///< Items of an array.
    std::vector<toml_member> members; ///< Members of a table, sorted by key.

    /// Returns the value of \p key, or nullptr when it is absent.
    const toml_node* find(std::string_view key) const;
};

/// A key of a table and its value.
struct toml_member
{
    std::string key;
    toml_node value;
};

/// The root of a parsed document, or its syntax error.
struct parsed_toml
{
    std::optional<toml_node> root;
    findings faults;
};

/// Parses TOML text; \p file is the file name in findings.
parsed_toml parse_toml(std::string_view text, const std::string& file);

/// Parses a time with its unit, such as "500 ms", "30 s" or "1.5 h"; the units are ns,
/// us, ms, s, min, h and d. Negative times are rejected.
std::optional<duration> parse_duration(std::string_view text);

/// Whether a key may be absent.
enum class presence
{
    required,
    optional
};

/// Reads the keys of one table and collects findings. Each accessor returns nullopt or
/// nullptr when its key is absent or invalid. After the last key, finish() reports the
/// keys that no accessor has read.
class toml_table_reader
{
public:
    /// \p place is the path of the table, empty for the document. \p table, \p file and
    /// \p faults must outlive the reader.
    toml_table_reader(const toml_node& table, std::string place, const std::string& file,
                      findings& faults);

    std::optional<std::string> text(std::string_view key, presence need);
    std::optional<std::int64_t> integer(std::string_view key, presence need,
                                        std::int64_t min, std::int64_t max);
    std::optional<bool> boolean(std::string_view key, presence need);
    /// Also accepts an integer.
    std::optional<double> number(std::string_view key, presence need, double min,
                                 double max);
    std::optional<duration> time_span(std::string_view key, presence need, duration min,
                                      duration max);
    /// Reads an array whose items must all be of kind \p items.
    const toml_node* array(std::string_view key, presence need, toml_node::kind items);

    const toml_node* table(std::string_view key, presence need);

    /// Adds a finding about \p key at the line of its value, or at the table's line when
    /// the key is absent.
    void report(std::string_view key, std::string message, std::string expected);
    /// Reports the keys and tables that were not read.
    void finish();

private:
    const toml_node* find(std::string_view key, presence need, toml_node::kind expected);
    std::string path(std::string_view key) const;

    const toml_node& table_;
    std::string place_;
    const std::string& file_;
    findings& faults_;
    std::set<std::string, std::less<>> read_keys_;
};

} // namespace hawthornbeam

#endif
