/** Fits least-squares lines to measured points. */

/** A measured value `y` at a size `x`. */
export interface Point {
  x: number
  y: number
}

/** The fitted line `y = intercept + slope * x`. */
export interface Line {
  intercept: number
  slope: number
  /** Root mean square of the residuals, relative to the mean of the measured values; 0 when that mean is 0. */
  residual: number
}

/** Fits a line to at least one point; the slope is 0 when all points have the same `x`. */
export function fitLine (points: Point[]): Line {
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count
  const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0)
  const slope = variance === 0 ? 0 : covariance / variance
  const intercept = meanY - slope * meanX
  const squaredResiduals = points.reduce((sum, point) => sum + (point.y - intercept - slope * point.x) ** 2, 0)
  return { intercept, slope, residual: meanY === 0 ? 0 : Math.sqrt(squaredResiduals / count) / Math.abs(meanY) }
}

/** The line's value at `x`. */
export function valueAt (line: Line, x: number): number {
  return line.intercept + line.slope * x
}
