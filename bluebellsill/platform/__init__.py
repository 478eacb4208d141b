"""The names, formats and calls of the Palaistra platform; decides nothing."""
