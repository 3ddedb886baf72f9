#include "report/views.h"

#include <algorithm>
#include <cairo-svg.h>
#include <cairo.h>
#include <cmath>
#include <fmt/format.h>
#include <memory>

namespace kingcuphub::report {

namespace {

/// Sizes in pixels.
constexpr double Width = 900;
constexpr double LabelWidth = 300;
constexpr double RightMargin = 70;
constexpr double TopMargin = 90;
constexpr double BottomMargin = 50;
constexpr double RowHeight = 44;
constexpr double BarHeight = 14;
constexpr double Baseline = 11;
constexpr double TitleSize = 18;
constexpr double TextSize = 12;
constexpr double TickLength = 5;
constexpr double NumberWidth = 30;
constexpr std::size_t MostRows = 30;
constexpr int TickCount = 5;
/// The burn axis reaches at least to here, and at most to the limit; longer
/// bars are cut there and say their value.
constexpr double LeastAxis = 2;
constexpr double MostAxis = 50;
constexpr double FullBurn = 1;

struct Colour {
  double Red = 0;
  double Green = 0;
  double Blue = 0;
};

constexpr Colour Ink{0.15, 0.15, 0.15};
constexpr Colour Faint{0.85, 0.85, 0.85};
constexpr Colour ShortBar{0.85, 0.37, 0.01};
constexpr Colour LongBar{0.12, 0.38, 0.65};
constexpr Colour Limit{0.75, 0.1, 0.1};

using SurfacePtr =
    std::unique_ptr<cairo_surface_t, decltype(&cairo_surface_destroy)>;
using ContextPtr = std::unique_ptr<cairo_t, decltype(&cairo_destroy)>;

/// Draws one report onto a cairo context.
class BurnPlot {
public:
  BurnPlot(cairo_t *Canvas, const BurnReport &Report)
      : Canvas(Canvas), Report(Report),
        RowCount(std::min(Report.Rows.size(), MostRows)) {
    for (const BurnRow &Row : Report.Rows)
      this->AxisEnd =
          std::max({this->AxisEnd, Row.shortBurn(), Row.longBurn()});
    this->AxisEnd = std::ceil(std::min(this->AxisEnd, MostAxis));
  }

  static double height(const BurnReport &Report) {
    std::size_t Rows =
        std::max<std::size_t>(1, std::min(Report.Rows.size(), MostRows));
    return TopMargin + RowHeight * static_cast<double>(Rows) + BottomMargin;
  }

  void draw() {
    cairo_set_source_rgb(this->Canvas, 1, 1, 1);
    cairo_paint(this->Canvas);
    this->drawTitle();
    this->drawAxis();
    for (std::size_t Index = 0; Index < this->RowCount; ++Index)
      this->drawRow(Index);
    if (this->RowCount == 0)
      this->text(LabelWidth, TopMargin + Baseline, TextSize, Ink,
                 "no requests in the last hour");
  }

private:
  double bottom() const { return height(this->Report) - BottomMargin; }
  double xOf(double Burn) const {
    double Part = std::clamp(Burn / this->AxisEnd, 0.0, 1.0);
    return LabelWidth + Part * (Width - LabelWidth - RightMargin);
  }

  void colour(const Colour &Wanted) {
    cairo_set_source_rgb(this->Canvas, Wanted.Red, Wanted.Green, Wanted.Blue);
  }

  void text(double X, double Y, double Size, const Colour &Wanted,
            const std::string &Words) {
    this->colour(Wanted);
    cairo_select_font_face(this->Canvas, "sans-serif", CAIRO_FONT_SLANT_NORMAL,
                           CAIRO_FONT_WEIGHT_NORMAL);
    cairo_set_font_size(this->Canvas, Size);
    cairo_move_to(this->Canvas, X, Y);
    cairo_show_text(this->Canvas, Words.c_str());
  }

  void box(double X, double Y, double BoxWidth, double BoxHeight,
           const Colour &Wanted) {
    this->colour(Wanted);
    cairo_rectangle(this->Canvas, X, Y, BoxWidth, BoxHeight);
    cairo_fill(this->Canvas);
  }

  void line(double X, double FromY, double ToY, const Colour &Wanted) {
    this->colour(Wanted);
    cairo_set_line_width(this->Canvas, 1);
    cairo_move_to(this->Canvas, X, FromY);
    cairo_line_to(this->Canvas, X, ToY);
    cairo_stroke(this->Canvas);
  }

  void drawTitle() {
    constexpr double TitleX = 20;
    constexpr double TitleY = 32;
    constexpr double LegendY = 58;
    constexpr double LegendGap = 140;
    this->text(TitleX, TitleY, TitleSize, Ink,
               "Service-level burn (1 uses up the error budget)");
    this->box(TitleX, LegendY - Baseline, BarHeight, BarHeight, ShortBar);
    this->text(TitleX + BarHeight * 1.5, LegendY, TextSize, Ink,
               "last 5 minutes");
    this->box(TitleX + LegendGap, LegendY - Baseline, BarHeight, BarHeight,
              LongBar);
    this->text(TitleX + LegendGap + BarHeight * 1.5, LegendY, TextSize, Ink,
               "last hour");
  }

  void drawAxis() {
    for (int Tick = 0; Tick <= TickCount; ++Tick) {
      double Burn = this->AxisEnd * Tick / TickCount;
      this->line(this->xOf(Burn), TopMargin, this->bottom() + TickLength,
                 Faint);
      this->text(this->xOf(Burn) - TickLength,
                 this->bottom() + TickLength + TextSize, TextSize, Ink,
                 fmt::format("{:.3g}", Burn));
    }
    this->line(this->xOf(FullBurn), TopMargin - TickLength,
               this->bottom() + TickLength, Limit);
    this->text(this->xOf(FullBurn) + TickLength, TopMargin - TickLength,
               TextSize, Limit, "budget");
  }

  void drawBar(double Y, double Burn, const Colour &Wanted) {
    double End = this->xOf(Burn);
    this->box(LabelWidth, Y, End - LabelWidth, BarHeight, Wanted);
    double Limit = this->xOf(FullBurn);
    bool AcrossLimit = End < Limit && Limit - End < NumberWidth;
    this->text((AcrossLimit ? Limit : End) + TickLength, Y + Baseline, TextSize,
               Ink, fmt::format("{:.1f}", Burn));
  }

  void drawRow(std::size_t Index) {
    constexpr double LabelX = 20;
    constexpr std::size_t LongestLabel = 42;
    const BurnRow &Row = this->Report.Rows[Index];
    double Y = TopMargin + RowHeight * static_cast<double>(Index) + TickLength;
    std::string Label = Row.Account + " / " + Row.Route;
    if (!Row.Model.empty())
      Label += " / " + Row.Model;
    if (Label.size() > LongestLabel)
      Label = Label.substr(0, LongestLabel - 3) + "...";
    this->text(LabelX, Y + Baseline, TextSize, Ink, Label);
    this->text(LabelX, Y + BarHeight + Baseline, TextSize, Ink,
               fmt::format("objective {:.6g}%, {} requests", Row.GoodPart * 100,
                           Row.Long.all()));
    this->drawBar(Y, Row.shortBurn(), ShortBar);
    this->drawBar(Y + BarHeight + 2, Row.longBurn(), LongBar);
  }

  cairo_t *Canvas;
  const BurnReport &Report;
  std::size_t RowCount;
  double AxisEnd = LeastAxis;
};

SurfacePtr makeSurface(PlotFormat Format, const std::string &FileName,
                       double Height) {
  cairo_surface_t *Raw =
      Format == PlotFormat::Svg
          ? cairo_svg_surface_create(FileName.c_str(), Width, Height)
          : cairo_image_surface_create(CAIRO_FORMAT_RGB24,
                                       static_cast<int>(Width),
                                       static_cast<int>(Height));
  return {Raw, cairo_surface_destroy};
}

} // namespace

base::Result<void> drawPlot(const BurnReport &Report, PlotFormat Format,
                            const std::string &FileName) {
  SurfacePtr Surface = makeSurface(Format, FileName, BurnPlot::height(Report));
  ContextPtr Canvas(cairo_create(Surface.get()), cairo_destroy);
  BurnPlot(Canvas.get(), Report).draw();
  cairo_status_t Status = cairo_status(Canvas.get());
  if (Status == CAIRO_STATUS_SUCCESS && Format == PlotFormat::Png)
    Status = cairo_surface_write_to_png(Surface.get(), FileName.c_str());
  cairo_surface_finish(Surface.get());
  if (Status == CAIRO_STATUS_SUCCESS)
    Status = cairo_surface_status(Surface.get());
  if (Status == CAIRO_STATUS_SUCCESS)
    return {};
  return base::fail(ReportErrc::CannotWrite,
                    FileName + " cannot be written (" +
                        cairo_status_to_string(Status) +
                        "); check its folder and its rights");
}

} // namespace kingcuphub::report
