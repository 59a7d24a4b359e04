#include "metrics/metrics_registry.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace tanager {

namespace {

constexpr unsigned bucket_count = 36;
constexpr double min_bucket_seconds = 0.000'1;
constexpr double max_bucket_seconds = 100.0;

std::string format_number(double value)
{
    std::array<char, 32> text{};                                               // NOLINT(*-magic-numbers)
    const int length = std::snprintf(text.data(), text.size(), "%.6g", value); // NOLINT(*-vararg)
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

std::string with_braces(const std::string& labels)
{
    return labels.empty() ? std::string{} : "{" + labels + "}";
}

void render_type(std::string& text, const std::string& name, std::string_view kind, std::string& last_name)
{
    if (name == last_name) {
        return;
    }
    text += "# TYPE " + name + " " + std::string{kind} + "\n";
    last_name = name;
}

} // namespace

metrics_registry::latency_series metrics_registry::make_series()
{
    return {
        boost::histogram::make_histogram(seconds_axis(bucket_count, min_bucket_seconds, max_bucket_seconds)),
        0};
}

void metrics_registry::observe_duration(std::string_view histogram,
                                        const metric_labels& label,
                                        duration value)
{
    auto named = this->histograms.find(histogram);
    if (named == this->histograms.end()) {
        named = this->histograms.try_emplace(std::string{histogram}).first;
    }
    auto labelled = named->second.find(label);
    if (labelled == named->second.end()) {
        labelled = named->second.emplace(label, make_series()).first;
    }
    const double seconds = std::chrono::duration<double>(value).count();
    labelled->second.buckets(seconds);
    labelled->second.sum_seconds += seconds;
}

void metrics_registry::increment_counter(std::string_view counter,
                                         const std::string& series,
                                         std::uint64_t amount)
{
    this->counters[{std::string{counter}, series}] += amount;
}

void metrics_registry::set_gauge(std::string_view gauge, double value, const std::string& series)
{
    this->gauges[{std::string{gauge}, series}] = value;
}

std::uint64_t metrics_registry::counter_value(std::string_view counter, const std::string& series) const
{
    const auto found = this->counters.find({std::string{counter}, series});
    return found == this->counters.end() ? 0 : found->second;
}

void metrics_registry::render_series(std::string& text,
                                     const std::string& name,
                                     const metric_labels& label,
                                     const latency_series& series)
{
    const std::string labels =
        "member=\"" + escape_label(label.member) + "\",class=\"" + escape_label(label.work_class) + "\"";
    double cumulative = 0;
    auto all_buckets = boost::histogram::indexed(series.buckets, boost::histogram::coverage::all);
    for (const auto& bucket : all_buckets) {
        cumulative += *bucket;
        const double upper = bucket.bin(0).upper();
        const std::string bound = std::isinf(upper) ? "+Inf" : format_number(upper);
        text += name;
        text += "_bucket{" + labels + ",le=\"";
        text += bound + "\"} ";
        text += format_number(cumulative) + "\n";
    }
    text += name + "_sum{" + labels + "} " + format_number(series.sum_seconds) + "\n";
    text += name + "_count{" + labels + "} " + format_number(cumulative) + "\n";
}

std::string metrics_registry::render() const
{
    std::string text;
    std::string last_name;
    for (const auto& [name, by_label] : this->histograms) {
        render_type(text, name, "histogram", last_name);
        for (const auto& [label, series] : by_label) {
            render_series(text, name, label, series);
        }
    }
    for (const auto& [key, value] : this->counters) {
        render_type(text, key.name, "counter", last_name);
        text += key.name + with_braces(key.labels) + " " + std::to_string(value) + "\n";
    }
    for (const auto& [key, value] : this->gauges) {
        render_type(text, key.name, "gauge", last_name);
        text += key.name + with_braces(key.labels) + " " + format_number(value) + "\n";
    }
    return text;
}

} // namespace tanager
