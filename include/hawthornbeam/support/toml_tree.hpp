/// \file
/// TOML documents as a tree with lines, and a reader that checks one table of it.
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

/// A value of a TOML document. Only the member that belongs to its kind is set.
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
    std::vector<toml_node> items;     ///< Of an array.
    std::vector<toml_member> members; ///< Of a table, by key.

    /// The member named \p key, or nullptr.
    const toml_node* find(std::string_view key) const;
};

/// A key of a table and its value.
struct toml_member
{
    std::string key;
    toml_node value;
};

/// A document, or the syntax error in it.
struct parsed_toml
{
    std::optional<toml_node> root;
    findings faults;
};

/// Parses TOML text; \p file is used in findings.
parsed_toml parse_toml(std::string_view text, const std::string& file);

/// Parses a time with its unit, such as "500 ms", "30 s" or "1.5 h"; the units are ns,
/// us, ms, s, min, h and d. Negative times are refused.
std::optional<duration> parse_duration(std::string_view text);

/// Whether a key may be absent.
enum class presence
{
    required,
    optional
};

/// Reads the keys of one table and collects findings. After the last key, finish()
/// reports the keys that nothing has asked for. Every read returns nothing when the key
/// is absent or faulty.
class toml_table_reader
{
public:
    /// \p place is the path of the table, empty for the document. \p table, \p file and
    /// \p faults must outlive the reader.
    toml_table_reader(const toml_node& table, std::string place, const std::string& file,
                      findings& faults);

    std::optional<std::string> text(std::string_view key, presence need);
    std::optional<std::int64_t> integer(std::string_view key, presence need,
                                        std::int64_t least, std::int64_t most);
    std::optional<bool> boolean(std::string_view key, presence need);
    /// Also takes an integer.
    std::optional<double> number(std::string_view key, presence need, double least,
                                 double most);
    std::optional<duration> time_span(std::string_view key, presence need, duration least,
                                      duration most);
    /// An array whose items are all of kind \p items.
    const toml_node* array(std::string_view key, presence need, toml_node::kind items);

    const toml_node* table(std::string_view key, presence need);

    /// Reports \p message about \p key at its line, or at the table's line.
    void report(std::string_view key, std::string message, std::string expected);
    /// Reports the keys and tables that were not read.
    void finish();

private:
    const toml_node* find(std::string_view key, presence need, toml_node::kind what);
    std::string path(std::string_view key) const;

    const toml_node& table_;
    std::string place_;
    const std::string& file_;
    findings& faults_;
    std::set<std::string, std::less<>> known_;
};

} // namespace hawthornbeam

#endif
