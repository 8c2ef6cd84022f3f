/** Least-squares lines through measured points. */

export interface Point {
  x: number
  y: number
}

export interface Line {
  intercept: number
  slope: number
  /** Root mean square of the residuals, relative to the mean of the measured values. */
  residual: number
}

/** Fits `y = intercept + slope * x`. */
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

/** The fitted value at a point. */
export function valueAt (line: Line, x: number): number {
  return line.intercept + line.slope * x
}
