#include "orders/fencing.h"

#include "base/name_table.h"

namespace cyclamenledge::orders {

namespace {

constexpr base::name_table<fencing_verdict, 2> verdict_names{base::make_names({"repeat_raised", "superseded"})};
constexpr fencing_number incarnation_mask = (fencing_number{1} << fencing_incarnation_bits) - 1;
constexpr fencing_number maximum_time_part = ~incarnation_mask;

} // namespace

std::string_view name_of(fencing_verdict verdict) {
    return verdict_names.name(verdict);
}

fencing::fencing(base::wall_time started, std::uint64_t incarnation, base::time_point now)
    : number_((static_cast<fencing_number>(started.time_since_epoch().count()) << fencing_incarnation_bits) |
              (incarnation & incarnation_mask))
    , incarnation_part_(incarnation & incarnation_mask)
    , started_(now) {}

std::optional<fencing_number> fencing::number() const {
    return superseded_ ? std::nullopt : std::optional{number_};
}

fencing_verdict fencing::on_higher_number(fencing_number engine_number, base::time_point now) {
    // The order was sent before the number was raised.
    if (engine_number <= number_ && !superseded_)
        return fencing_verdict::repeat_raised;
    auto const time_part = engine_number & ~incarnation_mask;
    auto const fresh = !order_accepted_ && !number_raised_ && now - started_ <= fencing_raise_window;
    if (!fresh || superseded_ || time_part == maximum_time_part) {
        superseded_ = true;
        return fencing_verdict::superseded;
    }
    number_raised_ = true;
    number_ = (time_part + incarnation_mask + 1) | incarnation_part_;
    return fencing_verdict::repeat_raised;
}

} // namespace cyclamenledge::orders
