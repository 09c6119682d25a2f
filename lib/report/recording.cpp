/// \file
/// Appends and reads recorded samples.
#include "hawthornbeam/report/recording.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace hawthornbeam
{

namespace
{

constexpr std::size_t max_findings = 100;
constexpr std::string_view expected_line_format =
    R"({"time_ms": NUMBER, "instance": TEXT, "snapshot": TEXT})";

/// Owns a file descriptor and closes it on destruction.
class scoped_descriptor
{
public:
    explicit scoped_descriptor(int descriptor) : descriptor_(descriptor) {}
    ~scoped_descriptor()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
    }
    scoped_descriptor(const scoped_descriptor&) = delete;
    scoped_descriptor& operator=(const scoped_descriptor&) = delete;
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

error system_error_of(const std::string& file, const char* action)
{
    return make_error(error_code::unavailable,
                      fmt::format("{}: cannot {}: {}", file, action,
                                  std::generic_category().message(errno)));
}

bool ends_without_line_feed(int descriptor)
{
    struct stat status = {};
    char last = '\n';
    if (::fstat(descriptor, &status) != 0 || status.st_size == 0)
        return false;
    return ::pread(descriptor, &last, 1, status.st_size - 1) == 1 && last != '\n';
}

bool write_all(int descriptor, std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t written = ::write(descriptor, text.data(), text.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

/// Parses one line into \p sample. Returns a description of the fault, or nullptr.
const char* parse_line(const std::string& line, metrics_sample& sample)
{
    const nlohmann::json document = nlohmann::json::parse(line, nullptr, false);
    if (!document.is_object())
        return "is not a JSON object";
    const nlohmann::json::const_iterator time = document.find("time_ms");
    const nlohmann::json::const_iterator instance = document.find("instance");
    const nlohmann::json::const_iterator snapshot = document.find("snapshot");
    const bool complete = time != document.end() && time->is_number_integer() &&
                          instance != document.end() && instance->is_string() &&
                          snapshot != document.end() && snapshot->is_string();
    if (!complete)
        return "lacks a field or has one of the wrong type";
    sample.time = wall_time(std::chrono::milliseconds(time->get<std::int64_t>()));
    sample.instance = instance_id(instance->get<std::string>());
    sample.snapshot = snapshot->get<std::string>();
    return sample.instance.empty() ? "has an empty instance" : nullptr;
}

} // namespace

std::string to_json_line(const metrics_sample& sample)
{
    nlohmann::ordered_json line;
    line["time_ms"] = sample.time.time_since_epoch().count();
    line["time"] = format_wall_time(sample.time);
    line["instance"] = sample.instance.value();
    line["snapshot"] = sample.snapshot;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

result<bool> append_samples(const std::string& file,
                            const std::vector<metrics_sample>& samples)
{
    const scoped_descriptor target(
        ::open(file.c_str(), O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, 0644));
    if (target.descriptor() < 0)
        return system_error_of(file, "open");
    std::string text = ends_without_line_feed(target.descriptor()) ? "\n" : "";
    for (const metrics_sample& sample : samples)
        text += to_json_line(sample);
    if (!write_all(target.descriptor(), text))
        return system_error_of(file, "write");
    return true;
}

findings read_samples(std::istream& lines, const std::string& file,
                      const std::function<result<bool>(const metrics_sample&)>& consume)
{
    findings faults;
    std::size_t damaged = 0;
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number)
    {
        if (line.empty())
            continue;
        metrics_sample sample;
        std::string message;
        const char* fault = parse_line(line, sample);
        if (fault != nullptr)
            message = fault;
        else
        {
            const result<bool> consumed = consume(sample);
            if (consumed)
                continue;
            message = consumed.error().message;
        }
        if (++damaged <= max_findings)
            faults.push_back(
                finding{file, number, "", message,
                        fault != nullptr ? std::string(expected_line_format) : ""});
    }
    if (damaged > max_findings)
        faults.push_back(finding{
            file, 0, "", fmt::format("{} more lines are damaged", damaged - max_findings),
            ""});
    return faults;
}

findings read_recording(const std::string& file,
                        const std::function<result<bool>(const metrics_sample&)>& consume)
{
    std::ifstream lines(file, std::ios::binary);
    if (!lines)
        return {finding{file, 0, "", "cannot be read", "a file of `report record`"}};
    return read_samples(lines, file, consume);
}

} // namespace hawthornbeam
