#include "catalogue/catalogue_reader.h"
#include "configuration/publication.h"
#include "generate.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <iostream>
#include <sys/resource.h>

namespace {

using namespace cyclamenledge;

long peak_kilobytes() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

std::size_t bytes_of(configuration::publication const& published, std::vector<std::size_t> const& positions) {
    std::size_t total = 0;
    for (auto const position : positions)
        total += published.parts[position]->text().size();
    return total;
}

/// What a process transfers when one organisation in the middle of the document changes its owner.
std::size_t bytes_after_one_change(configuration::publication const& before, std::string text) {
    constexpr std::string_view owner = "owner: sales";
    auto const at = text.find(owner, text.size() / 2);
    text.replace(at, owner.size(), "owner: sales-north");
    auto const after = configuration::split_document(text, 2);
    return configuration::write_index(after.index).size() +
           bytes_of(after, configuration::changed_parts(before.index, after.index));
}

double milliseconds_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

/// The share of reading that the YAML parser alone takes.
double parse_milliseconds(std::string const& text) {
    yaml_reader::diagnostics errors{"generated"};
    auto const start = std::chrono::steady_clock::now();
    auto const root = yaml_reader::parse_document(text, errors, configuration::maximum_joined_bytes);
    return root ? milliseconds_since(start) : 0;
}

int measure(std::string const& text) {
    auto const memory_before = peak_kilobytes();
    auto const start = std::chrono::steady_clock::now();
    auto const read = catalogue::check_catalogue(text, "generated", configuration::maximum_joined_bytes);
    auto const spent = milliseconds_since(start);
    auto const memory_after = peak_kilobytes();
    if (!read.value) {
        std::cerr << to_text(read.errors.front()) << '\n';
        return 1;
    }
    auto const divided = configuration::split_document(text, 1);
    std::cout << "bytes " << text.size() << "\nread_ms " << spent << "\nparse_ms " << parse_milliseconds(text)
              << "\npeak_before_kb " << memory_before << "\npeak_after_kb " << memory_after << "\nparts "
              << divided.parts.size() << "\nindex_bytes " << configuration::write_index(divided.index).size()
              << "\nbytes_after_one_change " << bytes_after_one_change(divided, text) << '\n';
    return 0;
}

} // namespace

int main(int argument_count, char** arguments) {
    CLI::App app{"Generates a catalogue of the target size"};
    development::catalogue_size size;
    std::uint64_t seed = 1;
    bool measured = false;
    app.add_option("--targets", size.targets, "Number of targets");
    app.add_option("--organisations", size.organisations, "Number of organisations");
    app.add_option("--entries", size.entries, "Number of entries");
    app.add_option("--seed", seed, "Seed of the random values");
    app.add_flag("--measure", measured, "Read and split the catalogue and print figures in place of it");
    CLI11_PARSE(app, argument_count, arguments);
    auto const text = development::generate_catalogue(size, seed);
    if (measured)
        return measure(text);
    std::cout << text;
    return 0;
}
