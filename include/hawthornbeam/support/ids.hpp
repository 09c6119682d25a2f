/// \file
/// Types of ids, and of the version counters that fence or order writes.
#ifndef HAWTHORNBEAM_SUPPORT_IDS_HPP
#define HAWTHORNBEAM_SUPPORT_IDS_HPP

#include "hawthornbeam/support/strong.hpp"

#include <optional>
#include <string_view>

namespace hawthornbeam
{

/// A machine that runs tasks.
using worker_id = string_id<struct worker_tag>;
/// A scheduler process, for example "entry-3".
using instance_id = string_id<struct instance_tag>;
/// A set of machines that fail together, for example a building.
using failure_domain_id = string_id<struct failure_domain_tag>;
/// A rack inside a failure domain.
using rack_id = string_id<struct rack_tag>;
/// The workers of one rack, written "failure domain/rack"; owned by one instance.
using slice_id = string_id<struct slice_tag>;
/// A partner that shares the cluster.
using partner_id = string_id<struct partner_tag>;
/// A row of the operators' table, written "partner/kind".
using row_id = string_id<struct row_tag>;
/// The caller's own id of a request; unique per partner.
using request_id = string_id<struct request_tag>;
/// Unique id of one write to the key-value service.
using change_id = string_id<struct change_tag>;

/// One of a fixed number of job partitions.
using partition_id = strong_number<struct partition_tag, std::uint16_t>;
/// Counts the owners of a job partition; a higher epoch fences lower ones.
using epoch = strong_number<struct epoch_tag, std::uint64_t>;
/// Counts the owner leases of a worker; a higher generation fences lower ones.
using generation = strong_number<struct generation_tag, std::uint64_t>;
/// Version of the operators' table; rises by one with each accepted edit.
using table_version = strong_number<struct table_version_tag, std::uint64_t>;
/// Revision of a key of the key-value service; zero means absent.
using kv_revision = strong_number<struct kv_revision_tag, std::uint64_t>;
/// Incarnation number of an instance in the member list.
using incarnation = strong_number<struct incarnation_tag, std::uint64_t>;

/// 128-bit id of a job, derived from the partner and the caller's request id, so that
/// a repeated submission names the same job.
class job_id
{
public:
    constexpr job_id() = default;
    constexpr job_id(std::uint64_t high, std::uint64_t low) : high_(high), low_(low) {}

    /// Hashes (partner, request id) with 128-bit xxHash.
    static job_id derive(const partner_id& partner, const request_id& request);
    /// Parses 32 lower-case hexadecimal digits.
    static std::optional<job_id> parse(std::string_view text);

    constexpr std::uint64_t high() const { return high_; }
    constexpr std::uint64_t low() const { return low_; }
    /// 32 lower-case hexadecimal digits.
    std::string text() const;
    /// The partition that stores this job, of \p count partitions; \p count is positive.
    partition_id partition(std::uint16_t count) const;

    friend constexpr bool operator==(const job_id&, const job_id&) = default;
    friend constexpr std::strong_ordering operator<=>(const job_id&,
                                                      const job_id&) = default;

    /// Called by cereal.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(high_, low_);
    }

private:
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
};

/// One attempt at one task of a job.
struct task_id
{
    job_id job;
    std::uint32_t index = 0;
    std::uint16_t attempt = 0;

    /// "JOB-INDEX-ATTEMPT", for example "00..2a-7-0".
    std::string text() const;
    /// Parses the form that text() writes.
    static std::optional<task_id> parse(std::string_view text);

    friend constexpr bool operator==(const task_id&, const task_id&) = default;
    friend constexpr std::strong_ordering operator<=>(const task_id&,
                                                      const task_id&) = default;

    /// Called by cereal.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(job, index, attempt);
    }
};

/// Names the slice of a rack.
slice_id make_slice_id(const failure_domain_id& domain, const rack_id& rack);
/// Names the row of a partner's kind of work.
row_id make_row_id(const partner_id& partner, std::string_view kind);
/// The partner part of \p row; empty when the row has no '/'.
partner_id partner_of(const row_id& row);

} // namespace hawthornbeam

template <>
struct std::hash<hawthornbeam::job_id>
{
    std::size_t operator()(const hawthornbeam::job_id& id) const { return id.low(); }
};

template <>
struct std::hash<hawthornbeam::task_id>
{
    std::size_t operator()(const hawthornbeam::task_id& id) const
    {
        return id.job.low() ^
               (static_cast<std::size_t>(id.index) * 0x9E3779B97F4A7C15ULL) ^
               (static_cast<std::size_t>(id.attempt) << 48);
    }
};

#endif
