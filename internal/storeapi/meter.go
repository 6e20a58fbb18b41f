package storeapi

import "context"

type meterKey struct{}

// WithMeter returns a context whose scans tell take the bytes of each page of rows that
// they have read. An error of take ends the scan.
func WithMeter(ctx context.Context, take func(bytes int) error) context.Context {
	return context.WithValue(ctx, meterKey{}, take)
}

// TakePage tells the meter of a context, if it has one, of a page of rows.
func TakePage(ctx context.Context, rows []Row) error {
	take, metered := ctx.Value(meterKey{}).(func(bytes int) error)
	if !metered {
		return nil
	}
	return take(RowBytes(rows))
}

// RowBytes returns the bytes of the keys and values of rows.
func RowBytes(rows []Row) int {
	bytes := 0
	for i := range rows {
		bytes += len(rows[i].Key) + len(rows[i].Value)
	}
	return bytes
}
