package report

// Notes is the record of the changes that were tried and measured.
const Notes = ``
