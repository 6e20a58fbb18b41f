package interference

import (
	"cmp"
	"math"
)

// solve estimates the effect of each neighbour with its standard error.
func (k *kind) solve() {
	var matrix [MaxKinds][MaxKinds]float64
	for i := range MaxKinds {
		for j := range i + 1 {
			matrix[i][j] = k.products[cell(i, j)]
		}
		matrix[i][i] += ridge
	}
	factor(&matrix)
	solution := solveFor(&matrix, k.rates)
	residual := k.squares
	for i := range solution {
		residual -= solution[i] * k.rates[i]
	}
	variance := (max(0, residual) + priorRuns*priorDeviation*priorDeviation) / (k.freedom + priorRuns)
	for i := range MaxKinds {
		var unit [MaxKinds]float64
		unit[i] = 1
		inverse := solveFor(&matrix, unit)
		// A lower progress rate is a longer run.
		k.effects[i].slowdown, k.effects[i].deviation = -solution[i], math.Sqrt(max(0, variance*inverse[i]))
	}
}

// factor replaces the lower triangle of a positive definite matrix by its Cholesky factor.
func factor(m *[MaxKinds][MaxKinds]float64) {
	for i := range MaxKinds {
		for j := range i + 1 {
			sum := m[i][j]
			for k := range j {
				sum -= m[i][k] * m[j][k]
			}
			if i == j {
				m[i][i] = math.Sqrt(max(sum, ridge/2))
			} else {
				m[i][j] = sum / m[j][j]
			}
		}
	}
}

// solveFor solves the equations of a factored matrix.
func solveFor(m *[MaxKinds][MaxKinds]float64, right [MaxKinds]float64) [MaxKinds]float64 {
	for i := range MaxKinds {
		for j := range i {
			right[i] -= m[i][j] * right[j]
		}
		right[i] /= m[i][i]
	}
	for i := MaxKinds - 1; i >= 0; i-- {
		for j := i + 1; j < MaxKinds; j++ {
			right[i] -= m[j][i] * right[j]
		}
		right[i] /= m[i][i]
	}
	return right
}

func comparePairs(a, b Pair) int {
	known := func(p Pair) int {
		if p.Known {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(known(a), known(b)), cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Neighbour, b.Neighbour))
}
